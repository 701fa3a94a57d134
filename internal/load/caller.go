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

// outcome classifies how a call ended.
type outcome int

const (
	// outcomeComplete: the complete, correct response arrived.
	outcomeComplete outcome = iota + 1
	// outcomeRejected: the response says that the call did not run.
	outcomeRejected
	// outcomeCancelled: the caller cancelled on purpose, or the run was
	// cancelled before the call was sent.
	outcomeCancelled
	// outcomeUnknown: the response to a plain call is an error that does not
	// say "not run", or the connection broke. The service's run counts tell
	// whether the call ran.
	outcomeUnknown
	// outcomeLost: the response is wrong or, for a completion, missing or an
	// error that does not say "not run".
	outcomeLost
	// outcomeDuplicated: a part of the response arrived twice.
	outcomeDuplicated
	// outcomeTruncated: the response began but is incomplete or malformed.
	outcomeTruncated
)

// result is one call as its caller saw it. ttft and total are measured from
// the planned arrival, so that calls that the generator sends late are not
// reported as faster than they were.
type result struct {
	call    *Call
	outcome outcome
	ttft    time.Duration
	total   time.Duration
	detail  string
}

// meetsTargets reports whether the call completed within the latency targets
// of its kind.
func (r *result) meetsTargets() bool {
	k := r.call.Kind
	if r.outcome != outcomeComplete || r.ttft > k.TTFT {
		return false
	}
	return k.Plain || r.call.OutputTokens < 2 || r.tpot() <= k.TPOT
}

// tpot is the time per output token: the mean over all tokens but the first.
func (r *result) tpot() time.Duration {
	return (r.total - r.ttft) / time.Duration(max(1, r.call.OutputTokens-1))
}

// caller sends calls to the entries.
type caller struct {
	client  *http.Client
	entries []string
	model   string
	// start is the time of the start of the run, from which Call.At counts.
	start time.Time
}

const (
	// maxSendAttempts bounds the attempts to send a completion. If the
	// connection breaks before a response, the call is sent to the next entry,
	// as behind a load balancer.
	maxSendAttempts  = 3
	maxResponseBytes = 1 << 20
	maxDetailBytes   = 300
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

// do makes the call and returns its result. n selects the entry.
func (c *caller) do(ctx context.Context, call *Call, n int) *result {
	if call.CancelAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, call.CancelAfter)
		defer cancel()
	}
	res := &result{call: call}
	if call.Kind.Plain {
		c.doPlain(ctx, res, n)
	} else {
		c.doCompletion(ctx, res, n)
	}
	if call.CancelAfter > 0 && ctx.Err() != nil && res.outcome != outcomeDuplicated {
		res.outcome = outcomeCancelled
	}
	return res
}

// elapsed returns the time since the planned arrival of the call.
func (c *caller) elapsed(call *Call) time.Duration {
	return time.Since(c.start) - call.At
}

func (r *result) setOutcome(o outcome, format string, args ...any) {
	r.outcome = o
	r.detail = fmt.Sprintf(format, args...)
	r.detail = r.detail[:min(len(r.detail), maxDetailBytes)]
}

func (c *caller) doCompletion(ctx context.Context, res *result, n int) {
	call := res.call
	body, err := json.Marshal(completionRequest{Model: c.model, Prompt: call.Prompt,
		MaxTokens: call.OutputTokens, Stream: true})
	if err != nil {
		res.setOutcome(outcomeLost, "encoding request: %v", err)
		return
	}
	var resp *http.Response
	for i := range maxSendAttempts {
		resp, err = c.post(ctx, n+i, call.Kind.Path+"/v1/completions", call, body)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		res.setOutcome(outcomeLost, "no response: %v", err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		res.readError(resp, outcomeLost)
		return
	}
	c.readStream(resp.Body, res)
}

func (c *caller) post(ctx context.Context, n int, path string, call *Call, body []byte) (*http.Response, error) {
	url := c.entries[n%len(c.entries)] + path
	// io.NopCloser leaves GetBody unset, so that the HTTP client does not retry.
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

// readError sets the outcome from an error response: rejected if the response
// says that the call did not run, else fallback.
func (r *result) readError(resp *http.Response, fallback outcome) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	var body errorBody
	if err == nil && json.Unmarshal(data, &body) == nil && body.Error.Ran == "no" {
		r.setOutcome(outcomeRejected, "%d %s", resp.StatusCode, body.Error.Code)
		return
	}
	r.setOutcome(fallback, "status %d: %s", resp.StatusCode, data)
}

// readStream reads a completion stream and compares each chunk with the
// predicted text at its position.
func (c *caller) readStream(body io.Reader, res *result) {
	expected := standin.ExpectedText(res.call.Prompt, res.call.OutputTokens)
	got := 0
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxResponseBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if got != len(expected) {
				res.setOutcome(outcomeTruncated, "[DONE] after %d of %d bytes", got, len(expected))
				return
			}
			res.outcome = outcomeComplete
			return
		}
		var chunk completionChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || chunk.Error != nil || len(chunk.Choices) != 1 {
			res.setOutcome(outcomeTruncated, "bad chunk after %d of %d bytes: %s", got, len(expected), data)
			return
		}
		text := chunk.Choices[0].Text
		if text == "" {
			continue
		}
		if !strings.HasPrefix(expected[got:], text) {
			res.setMismatch(expected, got, text)
			return
		}
		if got == 0 {
			res.ttft = c.elapsed(res.call)
		}
		got += len(text)
		res.total = c.elapsed(res.call)
		if limit := res.call.CancelAfterTokens; limit > 0 && got >= limit*upstream.TokenBytes {
			res.outcome = outcomeCancelled
			return
		}
	}
	res.setOutcome(outcomeTruncated, "stream ended after %d of %d bytes: %v", got, len(expected), lines.Err())
}

// setMismatch sets the outcome for a chunk that is not the expected text:
// duplicated if the text was received before, else lost.
func (r *result) setMismatch(expected string, got int, text string) {
	if got == len(expected) || strings.Contains(expected[:got], text) {
		r.setOutcome(outcomeDuplicated, "%q received again after %d of %d bytes", text, got, len(expected))
		return
	}
	r.setOutcome(outcomeLost, "%q instead of %q at byte %d", text, expected[got:min(len(expected), got+len(text))], got)
}

// doPlain makes one non-repeatable call to a plain service.
func (c *caller) doPlain(ctx context.Context, res *result, n int) {
	call := res.call
	body := []byte("commit " + call.Key)
	resp, err := c.post(ctx, n, call.Kind.Path+commitPath, call, body)
	if err != nil {
		res.setOutcome(outcomeUnknown, "no response: %v", err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		res.readError(resp, outcomeUnknown)
		return
	}
	var echo standin.ServiceResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&echo); err != nil {
		res.setOutcome(outcomeTruncated, "reading response: %v", err)
		return
	}
	res.ttft = c.elapsed(call)
	res.total = res.ttft
	sum := sha256.Sum256(body)
	if echo.Key != call.Key || echo.BodySHA256 != hex.EncodeToString(sum[:]) {
		res.setOutcome(outcomeLost, "response to another call: %+v", echo)
		return
	}
	res.outcome = outcomeComplete
}
