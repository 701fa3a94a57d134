package policy

import "time"

// TokenBucket is the level of a limit on a rate. What is taken in any period is at most
// the depth, plus the rate over the period, plus what single takes exceed the level by.
// Times must not go back.
type TokenBucket struct {
	level float64
	at    time.Duration
}

// NewTokenBucket returns a bucket with a level at a time.
func NewTokenBucket(level float64, now time.Duration) TokenBucket { return TokenBucket{level, now} }

// Advance adds the tokens since the last call. The level rises to at most depth, and is
// cut to depth if that has become smaller.
func (b *TokenBucket) Advance(perSecond, depth float64, now time.Duration) {
	if now > b.at {
		b.level += perSecond * (now - b.at).Seconds()
		b.at = now
	}
	b.level = min(b.level, depth)
}

// Add adds tokens, or takes them if n is negative. The level may become negative.
func (b *TokenBucket) Add(n float64) { b.level += n }

// Level returns the number of tokens at the last Advance.
func (b *TokenBucket) Level() float64 { return b.level }
