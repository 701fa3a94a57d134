package feed

import pb "godwitward.example/godwitward/api/godwitward/v1"

// Records returns copies of all records with their current age.
func (h *Hub) Records() []*pb.UpstreamRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Records(h.now())
}

// KnowsUpstream reports whether a process that has not ended serves at an address.
func (h *Hub) KnowsUpstream(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Serves(address)
}
