package edge

import (
	"godwitward.example/godwitward/internal/feed"
	"godwitward.example/godwitward/internal/forward"
	"godwitward.example/godwitward/internal/usage"
	"godwitward.example/godwitward/platform"
)

// startUsage makes a server keep to the caps and the keys of tenants. It must be called
// before the feed starts, with which the first configuration arrives.
func (e *entryProcess) startUsage(server *forward.Server) *usage.Client {
	s := e.file.Current()
	client := usage.NewClient(usage.ClientOptions{
		EntryID: s.VM, Core: coreOfEntry{e}, Logger: e.logger, Transport: e.transportOptions(),
		Settings: usage.Settings{Bound: platform.UsageBound(s), StrictRevocation: s.StrictRevocation, RevocationTime: s.RevocationTime},
	})
	server.SetTenantAdmission(client)
	server.Vars().Set("usage", client.Vars())
	return client
}

// coreOfEntry implements usage.Core with the entry's feed, which starts later.
type coreOfEntry struct{ entry *entryProcess }

func (c coreOfEntry) feed() *feed.Subscriber { return c.entry.subscriber.Load() }

// Leader implements usage.Core.
func (c coreOfEntry) Leader() (address string, term uint64, known bool) {
	if f := c.feed(); f != nil {
		return f.Leader()
	}
	return "", 0, false
}

// CoreMembers implements usage.Core.
func (c coreOfEntry) CoreMembers() []string {
	if f := c.feed(); f != nil {
		return f.CoreMembers()
	}
	return nil
}

// Entries implements usage.Core.
func (c coreOfEntry) Entries() int {
	if f := c.feed(); f != nil {
		return f.Entries()
	}
	return 0
}
