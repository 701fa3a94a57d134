package standin

import (
	"container/list"
	"math/rand/v2"
	"time"

	"godwitward.example/godwitward/internal/upstream"
)

const (
	// maxCacheEvents bounds the cache events in one announcement.
	maxCacheEvents = 256
	// maxPendingEvents bounds the events that wait for an announcement; the
	// oldest are dropped.
	maxPendingEvents = 2_048
)

// prefixCache is an LRU cache of prompt prefixes, identified by the hashes of
// their pieces, and the queue of cache events to announce. The engine's lock
// guards it.
type prefixCache struct {
	settings *Settings
	random   *rand.Rand
	// lru holds the hashes, most recently used first.
	lru      *list.List
	pieces   map[uint64]*list.Element
	sequence uint64
	events   []pendingEvent
}

type pendingEvent struct {
	event upstream.CacheEvent
	dueAt time.Time
}

func newPrefixCache(s *Settings) *prefixCache {
	return &prefixCache{
		settings: s,
		random:   rand.New(rand.NewPCG(s.Seed, 0)),
		lru:      list.New(),
		pieces:   map[uint64]*list.Element{},
	}
}

// match returns the number of leading pieces that are cached and marks them as
// recently used.
func (c *prefixCache) match(hashes []uint64) int {
	for i, h := range hashes {
		element, ok := c.pieces[h]
		if !ok {
			return i
		}
		c.lru.MoveToFront(element)
	}
	return len(hashes)
}

// insert adds the pieces and evicts the least recently used ones above
// Settings.CachePieces.
func (c *prefixCache) insert(hashes []uint64, now time.Time) {
	for _, h := range hashes {
		if element, ok := c.pieces[h]; ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.pieces[h] = c.lru.PushFront(h)
		c.queueEvent(upstream.CacheEvent{PrefixHash: h}, now)
	}
	for c.lru.Len() > c.settings.CachePieces {
		h := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.pieces, h)
		c.queueEvent(upstream.CacheEvent{PrefixHash: h, Removed: true}, now)
	}
}

// queueEvent numbers an event and queues it. A random CacheEventLossRate of the
// events is dropped, which leaves gaps in the sequence.
func (c *prefixCache) queueEvent(e upstream.CacheEvent, now time.Time) {
	c.sequence++
	e.Sequence = c.sequence
	if c.random.Float64() < c.settings.CacheEventLossRate {
		return
	}
	c.events = append(c.events, pendingEvent{event: e, dueAt: now.Add(c.settings.CacheEventDelay)})
	if extra := len(c.events) - maxPendingEvents; extra > 0 {
		c.events = c.events[extra:]
	}
}

// takeDue removes and returns up to maxCacheEvents events whose delay has
// passed.
func (c *prefixCache) takeDue(now time.Time) []upstream.CacheEvent {
	var due []upstream.CacheEvent
	for len(c.events) > 0 && len(due) < maxCacheEvents && !c.events[0].dueAt.After(now) {
		due = append(due, c.events[0].event)
		c.events = c.events[1:]
	}
	return due
}
