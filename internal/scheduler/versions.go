package scheduler

import (
	"slices"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// excluded returns the ids of the engines that a request must not use.
func (p *Pool) excluded(w *queuedRequest, c *candidates, now time.Duration) []string {
	list := p.upstreams.excludeLimited(w.req.Exclude, now)
	kept := p.keptVersions(w)
	if w.req.SoftwareVersion == "" && len(kept) == 0 {
		return list
	}
	list = slices.Clone(list)
	for _, e := range c.decode {
		version := p.upstreams.byID[e.ID].state.SoftwareVersion
		if w.req.SoftwareVersion != "" && version != w.req.SoftwareVersion || kept[version] {
			list = append(list, e.ID)
		}
	}
	return list
}

// keptVersions returns the software versions whose engines a new draft leaves to queued
// streams that only these may resume; none while the pool has only one version.
func (p *Pool) keptVersions(w *queuedRequest) map[string]bool {
	if w.lane == resumedLane || w.lane == urgentLane || p.queue.lanes[resumedLane].Len() == 0 || !p.upstreams.severalVersions() {
		return nil
	}
	kept := map[string]bool{}
	p.queue.lanes[resumedLane].Each(func(r *queuedRequest) bool {
		if r.req.SoftwareVersion != "" {
			kept[r.req.SoftwareVersion] = true
		}
		return true
	})
	return kept
}

// severalVersions reports whether usable decode engines run more than one software
// version.
func (t *upstreamTable) severalVersions() bool {
	version, found := "", false
	for _, m := range t.byID {
		if !m.view.Usable || m.state.Role != pb.EngineRole_ENGINE_ROLE_DECODE {
			continue
		}
		if found && m.state.SoftwareVersion != version {
			return true
		}
		version, found = m.state.SoftwareVersion, true
	}
	return false
}
