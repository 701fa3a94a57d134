package forward

import (
	"strings"
	"time"
)

// payer tells what a request to an upstream is charged to.
type payer uint8

const (
	// payerNone is the zero value. Nothing is sent for it.
	payerNone payer = iota
	// payerFree: a request that does not count against the retry budget, which is the
	// first of a caller's request, the first prefill call that an engine accepts, and
	// the end of a handle.
	payerFree
	// payerEntry: the entry's part of the retry budget.
	payerEntry
	// payerScheduler: the scheduler's part of the retry budget, from which the scheduler
	// took it when it placed the request.
	payerScheduler

	payerCount
)

var payerNames = [payerCount]string{"none", "free", "entry", "scheduler"}

// payers counts the requests to upstreams by what they were charged to.
type payers [payerCount]int

// String returns the counts that are not 0, for the log.
func (p *payers) String() string {
	var list []string
	for i, n := range p {
		if n > 0 {
			list = append(list, payerNames[i]+"="+itoa(n))
		}
	}
	return strings.Join(list, ",")
}

// charge pays for one request to an upstream. It is obtained before the request is sent,
// so that nothing is sent that the retry budget has no room for, and is settled with
// spend or giveBack. The zero value pays for nothing: connect refuses it.
type charge struct {
	x     *exchange
	payer payer
	// pledged is set if the free request of the exchange backs a prefill call: it is
	// used up if an engine rejects the call.
	pledged bool
}

// freeCharge pays for a request that never counts.
func freeCharge() charge { return charge{payer: payerFree} }

// chargeRun returns a charge for a request that is to run. The first request for a
// caller's request is free. p is nil for a service without engines.
func (x *exchange) chargeRun(p *placement) (charge, bool) {
	if !x.freeUsed {
		x.freeUsed = true
		return charge{x: x, payer: payerFree, pledged: true}, true
	}
	if p != nil && p.charges > 0 {
		p.charges--
		return charge{x: x, payer: payerScheduler}, true
	}
	return x.chargeEntry()
}

// canPayRun reports whether chargeRun would succeed now, so that no prompt is prefilled
// for a run that cannot be paid for.
func (x *exchange) canPayRun(p *placement) bool {
	return !x.freeUsed || p.charges > 0 || x.s.retryBudget(x.service.Name).remaining(x.s.now()) >= 1
}

// chargePrefill returns a charge for a prefill call. It counts if the engine rejects it or
// if another engine has accepted the prompt before. Without a retry left, the request's
// free run backs the call: if an engine rejects it, the run needs a charge. That
// is worth the risk only while engines accept such calls.
func (x *exchange) chargePrefill(p *placement) (charge, bool) {
	// One charge is for the run.
	if p.charges > 1 {
		p.charges--
		return charge{x: x, payer: payerScheduler}, true
	}
	if c, ok := x.chargeEntry(); ok {
		return c, true
	}
	if x.freeUsed || x.prefilled || x.s.prefillsRejected(x.service.Name) {
		return charge{}, false
	}
	x.freeUsed = true
	return charge{x: x, payer: payerFree, pledged: true}, true
}

// chargeEntry returns a charge to the entry's part of the retry budget.
func (x *exchange) chargeEntry() (charge, bool) {
	if !x.s.retryBudget(x.service.Name).hold(x.s.now()) {
		return charge{}, false
	}
	return charge{x: x, payer: payerEntry}, true
}

// spend settles the charge of a request that counts.
func (c *charge) spend() {
	if c.payer == payerEntry {
		c.x.s.retryBudget(c.x.service.Name).spend(c.x.s.now())
	}
	c.settle(c.payer)
}

// accept settles the charge of a prefill call that an engine has accepted. The first one
// of a caller's request is free.
func (c *charge) accept() {
	if c.x.prefilled {
		c.spend()
		return
	}
	x := c.x
	x.prefilled = true
	c.giveBack()
	x.recordPayer(payerFree)
}

// giveBack settles the charge of a request that does not count or was not sent.
func (c *charge) giveBack() {
	if c.payer == payerEntry {
		c.x.s.retryBudget(c.x.service.Name).release()
	}
	if c.pledged {
		c.x.freeUsed = false
	}
	*c = charge{}
}

func (c *charge) settle(p payer) {
	c.x.recordPayer(p)
	*c = charge{}
}

func (x *exchange) recordPayer(p payer) {
	x.payers[p]++
	x.s.vars.payers.Add(payerNames[p], 1)
}

// prefillRejectionMemory is how long a rejected prefill call is held against the next
// ones.
const prefillRejectionMemory = 2 * time.Second

func (s *Server) recordPrefillRejection(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefillRejectedAt[service] = s.now()
}

// prefillsRejected reports whether an engine of the service has rejected a prefill call of
// this entry recently.
func (s *Server) prefillsRejected(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, known := s.prefillRejectedAt[service]
	return known && s.now()-at < prefillRejectionMemory
}
