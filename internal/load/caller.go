package load

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"godwitward.example/godwitward/internal/standin"
	"godwitward.example/godwitward/internal/upstream"
)

// outcome says how a call ended.
type outcome int

const (
	// outcomeComplete: the whole and right answer arrived.
	outcomeComplete outcome = iota + 1
	// outcomeRejected: the answer said "not run".
	outcomeRejected
	// outcomeLeft: the caller left on purpose.
	outcomeLeft
	// outcomeUnknown: a plain call ended as "outcome unknown" or the
	// connection broke; the service's record tells whether it ran.
	outcomeUnknown
	// outcomeLost: neither the right answer nor "not run".
	outcomeLost
	// outcomeDuplicated: a part of the answer came twice.
	outcomeDuplicated
	// outcomeCutOff: the answer began and didn't end.
	outcomeCutOff
)

// result is one call as its caller saw it. Times count from the planned
// arrival, so that a late start of the generator is not hidden.
type result struct {
	call    *Call
	outcome outcome
	first   time.Duration
	last    time.Duration
	detail  string
}

// good reports whether the answer met the targets of its route.
func (r *result) good() bool {
	k := r.call.Kind
	if r.outcome != outcomeComplete || r.first > k.TTFT {
		return false
	}
	return k.Plain || r.call.OutputTokens < 2 || r.tpot() <= k.TPOT
}

// tpot is the mean time per token after the first.
func (r *result) tpot() time.Duration {
	return (r.last - r.first) / time.Duration(max(1, r.call.OutputTokens-1))
}

// caller makes calls to the entries.
type caller struct {
	client  *http.Client
	entries []string
	model   string
	start   time.Time
}

const (
	// connectAttempts is how often a caller of a completion tries when the
	// connection breaks before an answer, each time at another entry, as
	// behind a load balancer.
	connectAttempts = 3
	maxAnswerBytes  = 1 << 20
	maxDetailBytes  = 300
)

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type completionChunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

type errorBody struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// make makes the call and returns what the caller saw. n selects the entry.
func (c *caller) make(ctx context.Context, call *Call, n int) *result {
	if call.LeaveAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, call.LeaveAfter)
		defer cancel()
	}
	res := &result{call: call}
	if call.Kind.Plain {
		c.plain(ctx, res, n)
	} else {
		c.completion(ctx, res, n)
	}
	if call.LeaveAfter > 0 && ctx.Err() != nil && res.outcome != outcomeDuplicated {
		res.outcome = outcomeLeft
	}
	return res
}

func (c *caller) since(call *Call) time.Duration {
	return time.Since(c.start) - call.At
}

func (r *result) end(o outcome, format string, args ...any) {
	r.outcome = o
	r.detail = fmt.Sprintf(format, args...)
	r.detail = r.detail[:min(len(r.detail), maxDetailBytes)]
}

func (c *caller) completion(ctx context.Context, res *result, n int) {
	call := res.call
	body, err := json.Marshal(completionRequest{Model: c.model, Prompt: call.Prompt,
		MaxTokens: call.OutputTokens, Stream: true})
	if err != nil {
		res.end(outcomeLost, "encoding request: %v", err)
		return
	}
	var resp *http.Response
	for i := range connectAttempts {
		resp, err = c.post(ctx, n+i, call.Kind.Path+"/v1/completions", call, body)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		res.end(outcomeLost, "no answer: %v", err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		res.refused(resp, outcomeLost)
		return
	}
	c.readStream(resp.Body, res)
}

func (c *caller) post(ctx context.Context, n int, path string, call *Call, body []byte) (*http.Response, error) {
	url := c.entries[n%len(c.entries)] + path
	// A reader without GetBody, so that the HTTP client sends it once.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Organisation", call.Organisation)
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	return c.client.Do(req)
}

// refused reads an error answer; unless it says "not run" the outcome is the
// given one.
func (r *result) refused(resp *http.Response, other outcome) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	var body errorBody
	if err == nil && json.Unmarshal(data, &body) == nil && body.Error.Ran == "no" {
		r.end(outcomeRejected, "%d %s", resp.StatusCode, body.Error.Code)
		return
	}
	r.end(other, "status %d: %s", resp.StatusCode, data)
}

// readStream compares each chunk with the predicted text at its position.
func (c *caller) readStream(body io.Reader, res *result) {
	expected := standin.ExpectedText(res.call.Prompt, res.call.OutputTokens)
	got := 0
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxAnswerBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if got != len(expected) {
				res.end(outcomeCutOff, "done after %d of %d bytes", got, len(expected))
				return
			}
			res.outcome = outcomeComplete
			return
		}
		var chunk completionChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || chunk.Error != nil || len(chunk.Choices) != 1 {
			res.end(outcomeCutOff, "after %d of %d bytes: %s", got, len(expected), data)
			return
		}
		text := chunk.Choices[0].Text
		if text == "" {
			continue
		}
		if !strings.HasPrefix(expected[got:], text) {
			res.mismatch(expected, got, text)
			return
		}
		if got == 0 {
			res.first = c.since(res.call)
		}
		got += len(text)
		res.last = c.since(res.call)
		if leave := res.call.LeaveTokens; leave > 0 && got >= leave*upstream.TokenBytes {
			res.outcome = outcomeLeft
			return
		}
	}
	res.end(outcomeCutOff, "stream ended after %d of %d bytes: %v", got, len(expected), lines.Err())
}

// mismatch tells text that was sent before from wrong text.
func (r *result) mismatch(expected string, got int, text string) {
	if got == len(expected) || strings.Contains(expected[:got], text) {
		r.end(outcomeDuplicated, "%q again after %d of %d bytes", text, got, len(expected))
		return
	}
	r.end(outcomeLost, "%q instead of %q at byte %d", text, expected[got:min(len(expected), got+len(text))], got)
}

// plain makes one non-repeatable call.
func (c *caller) plain(ctx context.Context, res *result, n int) {
	call := res.call
	body := []byte("commit " + call.Key)
	resp, err := c.post(ctx, n, call.Kind.Path+plainPath, call, body)
	if err != nil {
		res.end(outcomeUnknown, "no answer: %v", err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		res.refused(resp, outcomeUnknown)
		return
	}
	var answer standin.Answer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		res.end(outcomeCutOff, "reading answer: %v", err)
		return
	}
	res.first = c.since(call)
	res.last = res.first
	sum := sha256.Sum256(body)
	if answer.Key != call.Key || answer.BodySHA256 != hex.EncodeToString(sum[:]) {
		res.end(outcomeLost, "answer to another call: %+v", answer)
		return
	}
	res.outcome = outcomeComplete
}
