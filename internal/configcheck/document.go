package configcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"godwitward.example/godwitward/internal/forward"
)

// Document is the result of decoding the text of a configuration.
type Document struct {
	// Config is nil if the text could not be decoded. If values were rejected, it holds
	// the others.
	Config *forward.Config
	// Rejections lists why the configuration is invalid; it is empty for a valid one.
	Rejections []Remark
	// Ignored lists parts of the text that have no effect.
	Ignored []Remark
	// Positions holds the position of each route, service and tenant by its place, such
	// as "routes.chat"; the last one if several have the same name.
	Positions map[string]Position
}

// Remark is a statement about one place of a configuration.
type Remark struct {
	// Place is a path such as "routes.chat" or "routes[3].priority"; empty for the
	// whole text.
	Place    string
	Position Position
	Message  string
}

// Position is a position in a text. Line and Column (in bytes) count from 1; the zero
// value means unknown.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// position returns the position of a place, or of the innermost item around it whose
// position is known.
func (d *Document) position(place string) Position {
	// A name may have many dots; places have at most four parts outside of names.
	for range 4 {
		if p, known := d.Positions[place]; known {
			return p
		}
		place = place[:max(0, strings.LastIndexAny(place, ".["))]
	}
	return Position{}
}

// Digest returns the form in which a key is shown: a part of its SHA-256, from which the
// key cannot be read.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	// With 48 bits, two of 10,000 keys share a digest with a probability of 2e-7.
	return "sha256:" + hex.EncodeToString(sum[:6])
}
