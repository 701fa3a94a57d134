package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"godwitward.example/godwitward/internal/upstream"
)

// announceTimeout bounds one attempt to send an announcement.
const announceTimeout = 500 * time.Millisecond

// announce sends an announcement each AnnounceInterval until ctx ends. The load
// is sampled by a separate ticker, so that reports are out of date, as those of
// real engines are.
func (h *host) announce(ctx context.Context, current incarnation, generation uint64) {
	if len(h.settings.Entries) == 0 {
		return
	}
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(h.settings.AnnounceInterval)
	defer ticker.Stop()
	sampler := time.NewTicker(h.settings.LoadSampleInterval)
	defer sampler.Stop()
	sampled, load := time.Now(), h.sampleLoad(current)
	entry := 0
	for {
		a := h.announcement(current, generation)
		a.Load = load
		a.Load.AgeMillis = uint32(time.Since(sampled).Milliseconds())
		for range h.settings.Entries {
			if postAnnouncement(ctx, client, h.settings.Entries[entry], a) {
				break
			}
			entry = (entry + 1) % len(h.settings.Entries)
		}
		for due := false; !due; {
			select {
			case <-ctx.Done():
				return
			case <-sampler.C:
				sampled, load = time.Now(), h.sampleLoad(current)
			case <-ticker.C:
				due = true
			}
		}
	}
}

func (h *host) sampleLoad(current incarnation) upstream.Load {
	var a upstream.Announcement
	current.fillAnnouncement(&a)
	return a.Load
}

func (h *host) announcement(current incarnation, generation uint64) *upstream.Announcement {
	s := &h.settings
	a := &upstream.Announcement{
		ID:         s.ID,
		Generation: generation,
		URL:        h.URL(),
		Place:      s.Place,
		Region:     s.Region,
		Service:    s.Service,
		Role:       s.Role,
		Leaving:    h.leaving.Load(),
	}
	current.fillAnnouncement(a)
	a.CacheEvents = current.takeCacheEvents()
	return a
}

func postAnnouncement(ctx context.Context, client *http.Client, entry string, a *upstream.Announcement) bool {
	body, err := json.Marshal(a)
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+upstream.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode < 300
}
