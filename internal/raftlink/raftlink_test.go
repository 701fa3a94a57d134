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

// Guards against lost, truncated or mixed-up messages when large messages are
// sent in parts next to small ones, and against the loss of a snapshot that
// exceeds the transport's message limit.
func TestRaftMessagesInParts(t *testing.T) {
	received := make(chan replica.GroupMessage, 16)
	server := transport.NewServer(transport.Options{})
	server.Handle(transport.MethodRaft, func(_ context.Context, st *transport.Stream) error {
		return Receive(st, func(group uint32, message []byte) {
			received <- replica.GroupMessage{Group: replica.GroupID(group), Message: message}
		})
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := transport.NewClient(listener.Addr().String(), transport.Options{})
	link := New(client)
	defer link.Close()
	defer client.Close()

	sizes := []int{0, 1, partBytes, partBytes + 1, 2 * partBytes, 3*partBytes + 7, transport.MaxMessageBytes + 5}
	want := map[replica.GroupID][]byte{}
	var batch []replica.GroupMessage
	for i, n := range sizes {
		m := bytes.Repeat([]byte{byte(i + 1)}, n)
		want[replica.GroupID(i)] = m
		batch = append(batch, replica.GroupMessage{Group: replica.GroupID(i), Message: m})
	}
	link.Send(batch)
	for range sizes[:len(sizes)-1] {
		select {
		case m := <-received:
			require.True(t, bytes.Equal(want[m.Group], m.Message), "group %d", m.Group)
			delete(want, m.Group)
		case <-time.After(10 * time.Second):
			t.Fatalf("%d messages are missing", len(want))
		}
	}
	// A message over maxQueuedBytes is dropped only when other messages are
	// queued before it, so the largest one is sent alone.
	link.Send(batch[len(batch)-1:])
	select {
	case m := <-received:
		require.True(t, bytes.Equal(want[m.Group], m.Message))
	case <-time.After(10 * time.Second):
		t.Fatal("the largest message is missing")
	}
}
