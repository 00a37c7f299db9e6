package svcdoc

import (
	"strings"
	"unicode"
)

// sections is the text of a document split at its accounts. The concatenation of
// head, accounts and tail is the whole text.
type sections struct {
	// head ends with the line "accounts:".
	head string
	// accounts holds the lines of each account, from its dash up to the next one.
	accounts []string
	tail     string
}

// join returns a document of the head, the given accounts and the tail.
func (s sections) join(accounts []string) string {
	return s.head + strings.Join(accounts, "") + s.tail
}

// splitAccounts splits a document so that each account can be parsed from its own
// lines. It reports false unless the lines prove that this is possible: the key
// accounts must be alone on its line, followed by a block list, and every line
// must be self-contained, so that no YAML construct spans two accounts.
func splitAccounts(text string) (sections, bool) {
	var s sections
	// indent is the indentation of the dashes of the accounts, -1 before the first.
	indent, start, offset := -1, 0, 0
	found, inTail := false, false
	for line := range strings.Lines(text) {
		spaces, ok := scanLine(line)
		if !ok {
			return sections{}, false
		}
		body := line[spaces:]
		switch {
		case !found:
			if strings.TrimRight(line, " \n") == "accounts:" {
				found, start = true, offset+len(line)
				s.head = text[:start]
			}
		case inTail || isBlank(body) || indent >= 0 && spaces > indent:
		case strings.HasPrefix(body, "- ") && (indent < 0 || spaces == indent):
			if indent >= 0 {
				s.accounts = append(s.accounts, text[start:offset])
				start = offset
			}
			indent = spaces
		case indent >= 0 && spaces == 0 && body[0] >= 'a' && body[0] <= 'z':
			s.accounts = append(s.accounts, text[start:offset])
			s.tail, inTail = text[offset:], true
		default:
			return sections{}, false
		}
		offset += len(line)
	}
	if indent >= 0 && !inTail {
		s.accounts = append(s.accounts, text[start:])
	}
	return s, indent >= 0
}

// isBlank reports whether a line without its indentation is empty or a comment.
func isBlank(body string) bool { return body == "" || body[0] == '\n' || body[0] == '#' }

// scanLine returns the number of leading spaces of a line and reports whether the
// line is self-contained: outside comments, it has only balanced brackets and the
// characters of names, numbers and durations. Documents with quotes, block
// scalars, anchors or explicit keys are left to the full parser. A comment may
// contain anything but control characters.
func scanLine(line string) (spaces int, ok bool) {
	body := strings.TrimLeft(line, " ")
	spaces = len(line) - len(body)
	content, comment := body, ""
	if isBlank(body) {
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
