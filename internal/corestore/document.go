package corestore

import (
	"encoding/binary"
	"sync"

	"github.com/pkg/errors"
)

// Document is one version of the configuration as the operator sent it.
type Document struct {
	Version uint64
	Body    []byte
}

// stateMachine holds the replicated state: the document with the highest version.
type stateMachine struct {
	mu       sync.Mutex
	current  Document
	onChange func(Document)
}

// Apply implements replica.StateMachine. Its result is the version in force.
func (m *stateMachine) Apply(_ uint64, data []byte) any {
	if len(data) == 0 {
		return m.document().Version
	}
	next, err := decodeDocument(data)
	if err != nil {
		// Every member rejects the same bytes, so the replicas stay identical.
		return m.document().Version
	}
	if m.storeIfNewer(next) {
		m.onChange(next)
	}
	return m.document().Version
}

func (m *stateMachine) storeIfNewer(next Document) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next.Version <= m.current.Version {
		return false
	}
	m.current = next
	return true
}

func (m *stateMachine) document() Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// Snapshot implements replica.StateMachine.
func (m *stateMachine) Snapshot() ([]byte, error) {
	return encodeDocument(m.document()), nil
}

// Restore implements replica.StateMachine.
func (m *stateMachine) Restore(data []byte) error {
	d, err := decodeDocument(data)
	if err != nil {
		return err
	}
	if m.storeIfNewer(d) {
		m.onChange(d)
	}
	return nil
}

func encodeDocument(d Document) []byte {
	b := binary.AppendUvarint(make([]byte, 0, len(d.Body)+binary.MaxVarintLen64), d.Version)
	return append(b, d.Body...)
}

func decodeDocument(data []byte) (Document, error) {
	version, n := binary.Uvarint(data)
	if n <= 0 {
		return Document{}, errors.New("document without a version")
	}
	return Document{Version: version, Body: data[n:]}, nil
}
