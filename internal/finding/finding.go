package finding

import (
	"fmt"
	"strings"
)

// Finding is one validation error and the field or setting that it is about.
type Finding struct {
	// Field is a flag name or a path such as "route.callers[2].token_sha256".
	Field string
	// Message says what is wrong and what is accepted.
	Message string
}

func (f Finding) String() string {
	return f.Field + ": " + f.Message
}

// List collects findings in the order in which they were added. The zero value
// is ready to use. A List is not safe for concurrent use.
type List struct {
	items []Finding
}

// Addf adds a finding about field with a formatted message.
func (l *List) Addf(field, format string, args ...any) {
	l.items = append(l.items, Finding{Field: field, Message: fmt.Sprintf(format, args...)})
}

// Merge adds all findings of other, each with prefix before its field.
func (l *List) Merge(prefix string, other *List) {
	for _, f := range other.items {
		l.items = append(l.items, Finding{Field: prefix + f.Field, Message: f.Message})
	}
}

// Items returns the findings collected so far.
func (l *List) Items() []Finding {
	return l.items
}

// Err returns an *Error with every finding, or nil when there is none.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	return &Error{Findings: l.items}
}

// Error is an error that consists of one or more findings.
type Error struct {
	Findings []Finding
}

func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return fmt.Sprintf("%d invalid values: %s", len(lines), strings.Join(lines, "; "))
}
