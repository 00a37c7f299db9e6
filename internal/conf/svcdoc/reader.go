package svcdoc

import (
	"sync/atomic"
	"unicode/utf8"

	"github.com/chestnutpond/chestnutpond"
)

// Reader parses successive versions of a document incrementally. It reuses the
// values of accounts whose text is unchanged since the previous version, because
// parsing takes 0.1 ms per account and most publications change one account. A
// Reader is safe for concurrent use. The zero value is ready to use.
type Reader struct {
	last atomic.Pointer[parsed]
}

// parsed is a valid document. It is immutable once stored in a Reader.
type parsed struct {
	text     string
	document chestnutpond.Document
	// accounts maps the text of each account to its value; nil if the text could
	// not be split.
	accounts map[string]chestnutpond.Account
}

// Parse returns the same value and error as the function Parse. The results of
// several calls share their guarantees, which must not be modified.
func (r *Reader) Parse(name string, data []byte) (chestnutpond.Document, error) {
	last := r.last.Load()
	if last != nil && last.text == string(data) {
		return last.document, nil
	}
	next := &parsed{text: string(data)}
	s, ok := splitAccounts(next.text)
	ok = ok && len(data) <= MaxBytes && len(s.accounts) <= MaxAccounts && utf8.Valid(data)
	if last == nil || !ok || !next.parseChanged(s, last) {
		d, err := Parse(name, data)
		if err != nil {
			return d, err
		}
		next.document = d
		next.indexAccounts(s, ok)
	}
	r.last.Store(next)
	return next.document, nil
}

// parseChanged reuses the accounts that are in last and parses the others. It
// reports false if the document may be invalid; the caller must then parse the
// whole text to get the positions of the problems.
func (p *parsed) parseChanged(s sections, last *parsed) bool {
	var changed []string
	for _, text := range s.accounts {
		if _, ok := last.accounts[text]; !ok {
			changed = append(changed, text)
		}
	}
	subset := changed
	if len(subset) == 0 {
		// A document has at least one account.
		subset = s.accounts[:1]
	}
	d, err := Parse("", []byte(s.join(subset)))
	if err != nil || len(d.Accounts) != len(subset) {
		return false
	}
	parsedAccounts := d.Accounts
	if len(changed) == 0 {
		parsedAccounts = nil
	}
	d.Accounts = make([]chestnutpond.Account, 0, len(s.accounts))
	names, digests := map[string]bool{}, map[string]bool{}
	for _, text := range s.accounts {
		a, ok := last.accounts[text]
		if !ok {
			a, parsedAccounts = parsedAccounts[0], parsedAccounts[1:]
		}
		if names[a.Name] || digests[a.TokenSHA256] {
			return false
		}
		names[a.Name], digests[a.TokenSHA256] = true, true
		d.Accounts = append(d.Accounts, a)
	}
	p.document = d
	p.indexAccounts(s, true)
	return true
}

// indexAccounts fills p.accounts if the text was split, which ok reports.
func (p *parsed) indexAccounts(s sections, ok bool) {
	if !ok || len(s.accounts) != len(p.document.Accounts) {
		return
	}
	p.accounts = make(map[string]chestnutpond.Account, len(s.accounts))
	for i, text := range s.accounts {
		p.accounts[text] = p.document.Accounts[i]
	}
}
