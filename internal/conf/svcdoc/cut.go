package svcdoc

import (
	"strings"
	"unicode"
)

// sections is the text of a document, cut at its accounts. The text is head, the
// accounts and tail, one after the other.
type sections struct {
	// head ends with the line of the key accounts.
	head string
	// accounts has the lines of each account, from its dash to the next one.
	accounts []string
	tail     string
}

// join returns a document of the head, some of the accounts and the tail.
func (s sections) join(accounts []string) string {
	return s.head + strings.Join(accounts, "") + s.tail
}

// cut cuts a document at its accounts, so that the value of each account
// follows from its own lines alone. It reports false if the lines do not show
// that: the key accounts must stand alone on its line with a block list below
// it, and every line must be simple, so that no construct spans the boundary of
// two accounts.
func cut(text string) (sections, bool) {
	var s sections
	// indent is where the dashes of the accounts stand, -1 before the first one.
	indent, begin, at := -1, 0, 0
	found, ended := false, false
	for line := range strings.Lines(text) {
		spaces, ok := simple(line)
		if !ok {
			return sections{}, false
		}
		body := line[spaces:]
		switch {
		case !found:
			if strings.TrimRight(line, " \n") == "accounts:" {
				found, begin = true, at+len(line)
				s.head = text[:begin]
			}
		case ended || blank(body) || indent >= 0 && spaces > indent:
		case strings.HasPrefix(body, "- ") && (indent < 0 || spaces == indent):
			if indent >= 0 {
				s.accounts = append(s.accounts, text[begin:at])
				begin = at
			}
			indent = spaces
		case indent >= 0 && spaces == 0 && body[0] >= 'a' && body[0] <= 'z':
			s.accounts = append(s.accounts, text[begin:at])
			s.tail, ended = text[at:], true
		default:
			return sections{}, false
		}
		at += len(line)
	}
	if indent >= 0 && !ended {
		s.accounts = append(s.accounts, text[begin:])
	}
	return s, indent >= 0
}

// blank reports whether the rest of a line has no content.
func blank(body string) bool { return body == "" || body[0] == '\n' || body[0] == '#' }

// simple returns the spaces at the beginning of a line and reports whether it
// can be read without the lines around it: it has only characters of names,
// numbers and durations, and its brackets are closed. Quotes, block scalars,
// anchors and explicit keys are left to the whole parser. A comment has any text
// without control characters.
func simple(line string) (spaces int, ok bool) {
	body := strings.TrimLeft(line, " ")
	spaces = len(line) - len(body)
	content, comment := body, ""
	if blank(body) {
		content, comment = "", body
	} else if i := strings.Index(body, " #"); i >= 0 {
		content, comment = body[:i], body[i:]
	}
	if strings.ContainsFunc(strings.TrimSuffix(comment, "\n"), unicode.IsControl) {
		return spaces, false
	}
	depth := 0
	for _, c := range strings.TrimSuffix(content, "\n") {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', strings.ContainsRune(" _-.:", c):
		case c == ',' && depth > 0:
		case c == '{' || c == '[':
			depth++
		case (c == '}' || c == ']') && depth > 0:
			depth--
		default:
			return spaces, false
		}
	}
	return spaces, depth == 0
}
