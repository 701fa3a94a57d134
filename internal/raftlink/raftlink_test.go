package raftlink

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/replica"
	"godwitward.example/godwitward/internal/transport"
)

// Guards against messages that are lost, cut or mixed up when large ones are
// sent in parts beside small ones, and a snapshot over the transport's limit.
func TestRaftMessagesInParts(t *testing.T) {
	got := make(chan replica.GroupMessage, 16)
	ts := transport.NewServer(transport.Options{})
	ts.Handle(transport.MethodRaft, func(_ context.Context, st *transport.Stream) error {
		return Receive(st, func(group uint32, message []byte) {
			got <- replica.GroupMessage{Group: replica.GroupID(group), Message: message}
		})
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = ts.Serve(l) }()
	defer ts.Close()
	client := transport.NewClient(l.Addr().String(), transport.Options{})
	lk := New(client)
	defer lk.Close()
	defer client.Close()

	sizes := []int{0, 1, partBytes, partBytes + 1, 2 * partBytes, 3*partBytes + 7, transport.MaxMessageBytes + 5}
	want := map[replica.GroupID][]byte{}
	var batch []replica.GroupMessage
	for i, n := range sizes {
		m := bytes.Repeat([]byte{byte(i + 1)}, n)
		want[replica.GroupID(i)] = m
		batch = append(batch, replica.GroupMessage{Group: replica.GroupID(i), Message: m})
	}
	lk.Send(batch)
	for range sizes[:len(sizes)-1] {
		select {
		case m := <-got:
			require.True(t, bytes.Equal(want[m.Group], m.Message), "group %d", m.Group)
			delete(want, m.Group)
		case <-time.After(10 * time.Second):
			t.Fatalf("%d messages are missing", len(want))
		}
	}
	// The queue's byte bound drops a message over it only behind others.
	lk.Send(batch[len(batch)-1:])
	select {
	case m := <-got:
		require.True(t, bytes.Equal(want[m.Group], m.Message))
	case <-time.After(10 * time.Second):
		t.Fatal("the largest message is missing")
	}
}
