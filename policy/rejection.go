package policy

// Capacity is what one engine can run at once.
type Capacity struct {
	Slots        int
	MemoryTokens int
}

// fullShare is the share of the slots or of the memory from which on a rejection
// is put down to a full engine. The sizes of the running requests are known only
// on average, and some memory is in use by transfers that have not ended.
const fullShare = 0.7

// LikelyFull reports whether an engine that rejected a request of promptTokens had
// probably no room for it, given the requests that it reported with the rejection
// and their mean size.
//
// Engines reject a request whose prefill result they cannot fetch in the same way
// as one that they have no room for. On a pool whose memory runs out long before
// its slots, slots alone make every full engine look like a lost result, and the
// finished prefill is thrown away.
func (c Capacity) LikelyFull(running, waiting int, meanTokens float64, promptTokens int) bool {
	if waiting > 0 || float64(running) > fullShare*float64(c.Slots) {
		return true
	}
	used := float64(running)*meanTokens + float64(promptTokens)
	return c.MemoryTokens > 0 && used > fullShare*float64(c.MemoryTokens)
}

// MeanSize is the moving average of the memory that requests hold, in tokens.
type MeanSize struct {
	mean  float64
	count int
}

// meanSizeGain averages over about fifty requests.
const meanSizeGain = 0.02

// Add counts a request with its prompt and its expected output. On average a
// running request has generated half of its output.
func (m *MeanSize) Add(promptTokens, outputTokens int) {
	m.count++
	sample := float64(promptTokens) + float64(outputTokens)/2
	m.mean += max(meanSizeGain, 1/float64(m.count)) * (sample - m.mean)
}

// Tokens returns the average, 0 before the first request.
func (m *MeanSize) Tokens() float64 { return m.mean }
