package svcdoc

import (
	"sync/atomic"
	"unicode/utf8"

	"github.com/chestnutpond/chestnutpond"
)

// Reader parses one version of a document after another. Accounts whose text is
// the same as in the document before keep their value, because parsing takes
// 0.1 ms an account and most publications change one account. A Reader may be
// used by several goroutines. The zero value has no document before.
type Reader struct {
	last atomic.Pointer[parsed]
}

// parsed is a document without faults. It does not change.
type parsed struct {
	text     string
	document chestnutpond.Document
	// accounts holds the values by their text.
	accounts map[string]chestnutpond.Account
}

// Parse returns what the function Parse returns, in value and in errors. The
// results of several calls share their guarantees, which must not be changed.
func (r *Reader) Parse(name string, data []byte) (chestnutpond.Document, error) {
	last := r.last.Load()
	if last != nil && last.text == string(data) {
		return last.document, nil
	}
	next := &parsed{text: string(data)}
	s, ok := cut(next.text)
	ok = ok && len(data) <= MaxBytes && len(s.accounts) <= MaxAccounts && utf8.Valid(data)
	if last == nil || !ok || !next.extend(s, last) {
		d, err := Parse(name, data)
		if err != nil {
			return d, err
		}
		next.document = d
		next.remember(s, ok)
	}
	r.last.Store(next)
	return next.document, nil
}

// extend takes the accounts that last has and parses the others. It reports
// false if the document may have a fault, whose place only the whole text tells.
func (p *parsed) extend(s sections, last *parsed) bool {
	var changed []string
	for _, text := range s.accounts {
		if _, ok := last.accounts[text]; !ok {
			changed = append(changed, text)
		}
	}
	part := changed
	if len(part) == 0 {
		// A document has at least one account.
		part = s.accounts[:1]
	}
	d, err := Parse("", []byte(s.join(part)))
	if err != nil || len(d.Accounts) != len(part) {
		return false
	}
	fresh := d.Accounts
	if len(changed) == 0 {
		fresh = nil
	}
	d.Accounts = make([]chestnutpond.Account, 0, len(s.accounts))
	names, digests := map[string]bool{}, map[string]bool{}
	for _, text := range s.accounts {
		a, ok := last.accounts[text]
		if !ok {
			a, fresh = fresh[0], fresh[1:]
		}
		if names[a.Name] || digests[a.TokenSHA256] {
			return false
		}
		names[a.Name], digests[a.TokenSHA256] = true, true
		d.Accounts = append(d.Accounts, a)
	}
	p.document = d
	p.remember(s, true)
	return true
}

// remember keeps the accounts by their text, if the text could be cut.
func (p *parsed) remember(s sections, ok bool) {
	if !ok || len(s.accounts) != len(p.document.Accounts) {
		return
	}
	p.accounts = make(map[string]chestnutpond.Account, len(s.accounts))
	for i, text := range s.accounts {
		p.accounts[text] = p.document.Accounts[i]
	}
}
