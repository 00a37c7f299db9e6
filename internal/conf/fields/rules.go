package fields

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// MaxName is the maximum length of a name in bytes.
const MaxName = 64

// Syntax is a rule for the values of a string field.
type Syntax struct {
	// Allowed describes the valid values in messages.
	Allowed string
	// Secret omits the value from messages.
	Secret bool
	Valid  func(string) bool
}

var (
	nameSyntax   = regexp.MustCompile(`^[a-z][a-z0-9]*([_-][a-z0-9]+)*$`)
	digestSyntax = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

var (
	// Name is the syntax of the names of services, accounts, kinds, regions and
	// processes.
	Name = Syntax{
		Allowed: fmt.Sprintf("a name of at most %d lower-case letters and digits that begins with a letter, its words joined by one - or _", MaxName),
		Valid:   func(s string) bool { return len(s) <= MaxName && nameSyntax.MatchString(s) },
	}
	// Digest is the syntax of the SHA-256 of a token. It is secret because an
	// invalid value may be the token itself.
	Digest = Syntax{
		Allowed: "the SHA-256 of the token as 64 lower-case hex digits",
		Secret:  true,
		Valid:   digestSyntax.MatchString,
	}
)

// OneOf returns a Syntax that accepts only the given values.
func OneOf(values ...string) Syntax {
	return Syntax{
		Allowed: strings.Join(values, ", "),
		Valid:   func(s string) bool { return slices.Contains(values, s) },
	}
}

// Range is an inclusive range of integers.
type Range struct {
	Min, Max int64
}

// String returns the range as it appears in messages.
func (r Range) String() string { return fmt.Sprintf("%d to %d", r.Min, r.Max) }

// Span is an inclusive range of durations.
type Span struct {
	Min, Max time.Duration
}

// String returns the range as it appears in messages.
func (s Span) String() string {
	return fmt.Sprintf("%s to %s as a number with a unit, such as 500ms, 5s or 24h", formatDuration(s.Min), formatDuration(s.Max))
}

// formatDuration formats a duration without trailing zero units, such as 24h for
// 24h0m0s.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
