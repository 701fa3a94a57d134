package configcheck

import (
	"strconv"
	"strings"
	"time"

	"godwitward.example/godwitward/internal/forward"
)

func (c *checker) checkTenants(config *forward.Config) {
	prompt := largestPrompt(config)
	for i := range config.Tenants {
		c.visits++
		t := &config.Tenants[i]
		place := "tenants." + t.Name
		c.checkKeys(place, t)
		c.checkCap(place, t, prompt)
	}
}

// checkKeys reports keys with which no request can be sent. A key of two tenants is
// invalid and is reported as such.
func (c *checker) checkKeys(place string, t *forward.Tenant) {
	if len(t.Keys) == 0 {
		c.warnf(RuleNoKeys, place, "has no keys, so that no request is of this tenant")
	}
	count := map[string]int{}
	for i, key := range t.Keys {
		c.visits++
		if count[key]++; count[key] == 2 {
			c.warnf(RuleRepeatedKey, place, "lists the key %s twice", Digest(key))
		}
		if count[key] > 1 {
			continue
		}
		switch {
		case key == "":
			c.warnf(RuleUnmatchedKey, place, "key %d is empty; a request with an empty key is refused", i+1)
		case strings.Trim(key, " \t") != key || strings.ContainsFunc(key, func(ch rune) bool { return ch < ' ' && ch != '\t' || ch == 0x7f }):
			c.warnf(RuleUnmatchedKey, place, "key %s begins or ends with white space or has control characters, which a header cannot carry", Digest(key))
		}
	}
}

// promptLimit is the largest prompt that an engine takes, and the longest time that it
// may run.
type promptLimit struct {
	service string
	tokens  float64
	timeout time.Duration
}

// largestPrompt returns the memory of the smallest engine that streams use, and the
// longest timeout of a stream. With these, a tenant is reported only if its cap is too
// low for every pair of a stream and an engine. tokens is 0 if there are none.
func largestPrompt(config *forward.Config) promptLimit {
	var p promptLimit
	for i := range config.Routes {
		r := &config.Routes[i]
		if r.Kind != forward.Stream {
			continue
		}
		for _, share := range r.Split {
			s := config.Services[share.Service]
			if s == nil || s.Engine == nil || s.Engine.MemoryTokens <= 0 || share.Weight <= 0 {
				continue
			}
			if tokens := float64(s.Engine.MemoryTokens); p.tokens == 0 || tokens < p.tokens {
				p.service, p.tokens = s.Name, tokens
			}
			p.timeout = max(p.timeout, r.Timeout)
		}
	}
	return p
}

func (c *checker) checkCap(place string, t *forward.Tenant, prompt promptLimit) {
	if !t.CountsTokens && t.PlainTokens > 0 {
		c.warnf(RuleUnusedCost, place, "has a cost of requests without token counts, but its unit counts each request as 1")
	}
	if t.PerSecond <= 0 {
		if t.Burst > 0 {
			c.warnf(RuleUnusedBurst, place, "has a burst, but no rate, so that there is no cap")
		}
		return
	}
	if !t.CountsTokens {
		if t.Burst > 0 && t.Burst < 1 {
			c.warnf(RuleBurstUnderCost, place, "burst %s is below the cost of one request, 1", number(t.Burst))
		}
		return
	}
	cost, source := t.PlainTokens, "a request without token counts"
	if c.opts.PromptTokens > cost {
		cost, source = c.opts.PromptTokens, "a usual prompt"
	}
	if t.Burst > 0 && t.Burst < cost {
		c.warnf(RuleBurstUnderCost, place, "burst %s is below the %s tokens that %s costs", number(t.Burst), number(cost), source)
	}
	if t.PerSecond < cost {
		c.warnf(RuleCapUnderCost, place, "cap of %s tokens per second is below the %s tokens that %s costs", number(t.PerSecond), number(cost), source)
	} else if room := t.Burst + t.PerSecond*prompt.timeout.Seconds(); room < prompt.tokens {
		c.warnf(RuleCapUnderCost, place, "cap and burst leave room for %.0f tokens within %v, the longest timeout of a stream; a single prompt may take %.0f at an engine of service %s",
			room, prompt.timeout, prompt.tokens, prompt.service)
	}
}

// number returns a number without an exponent.
func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
