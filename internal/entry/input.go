package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"godwitward.example/godwitward/internal/route"
)

// completionParams are the validated parameters of a completions or chat
// completions request.
type completionParams struct {
	chat         bool
	model        string
	prompt       string
	prefixHashes []uint64
	maxTokens    int
	stream       bool
	includeUsage bool
}

// completionBody holds the supported parameters. The others are ignored when
// ignorable reports true and rejected otherwise.
type completionBody struct {
	model               string
	prompt              json.RawMessage
	messages            []chatMessage
	maxTokens           *int
	maxCompletionTokens *int
	stream              bool
	streamOptions       *streamOptions
	n                   *int
	bestOf              *int
}

// fieldPointers maps each parameter except the prompt to its field. The prompt is
// copied as raw JSON, because each decoding of a long one takes two passes over it.
func (b *completionBody) fieldPointers() map[string]any {
	return map[string]any{
		"model": &b.model, "messages": &b.messages, "max_tokens": &b.maxTokens,
		"max_completion_tokens": &b.maxCompletionTokens, "stream": &b.stream, "stream_options": &b.streamOptions,
		"n": &b.n, "best_of": &b.bestOf,
	}
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
	Name    string          `json:"name"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

const (
	// defaultMaxTokens applies when a completions request sets no limit, as in the
	// common completions API.
	defaultMaxTokens = 16
	// defaultChatMaxTokens applies when a chat completions request sets no limit.
	defaultChatMaxTokens = 1024
)

// ignoredParameters tune sampling or label the request. The engine protocol does
// not carry them, and an answer generated without them is still valid.
var ignoredParameters = []string{
	"temperature", "top_p", "top_k", "seed", "presence_penalty", "frequency_penalty", "user", "metadata", "store",
	"service_tier", "safety_identifier", "prompt_cache_key",
}

// parseParams parses and validates a request body, before anything is sent
// upstream.
func parseParams(rt *route.Route, chat bool, body []byte) (*completionParams, *Failure) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, newFailure(http.StatusBadRequest, CodeInvalidJSON, "the body is not a JSON object: %v", err)
	}
	b := &completionBody{}
	if f := b.decode(fields); f != nil {
		return nil, f
	}
	if b.n != nil && *b.n != 1 || b.bestOf != nil && *b.bestOf != 1 {
		return nil, newFailure(http.StatusBadRequest, CodeUnsupportedParameter, "n and best_of must be 1")
	}
	in := &completionParams{chat: chat, stream: b.stream, includeUsage: b.streamOptions != nil && b.streamOptions.IncludeUsage}
	var f *Failure
	if in.prompt, f = promptOf(b, chat); f != nil {
		return nil, f
	}
	if in.maxTokens, f = maxTokensOf(b, rt, chat); f != nil {
		return nil, f
	}
	var ok bool
	if in.model, ok = rt.ModelFor(b.model); !ok {
		return nil, newFailure(http.StatusNotFound, CodeUnknownModel, "the route does not serve model %q", b.model)
	}
	return in, nil
}

// decode decodes the parameters. It rejects those that would change the meaning
// of the answer and that the engines do not support.
func (b *completionBody) decode(fields map[string]json.RawMessage) *Failure {
	known := b.fieldPointers()
	for name, value := range fields {
		if name == "prompt" {
			b.prompt = value
			continue
		}
		if dst, ok := known[name]; ok {
			if err := json.Unmarshal(value, dst); err != nil {
				return newFailure(http.StatusBadRequest, CodeInvalidRequest, "parameter %q: %v", name, err)
			}
			continue
		}
		if !ignorable(name, value) {
			return newFailure(http.StatusBadRequest, CodeUnsupportedParameter, "parameter %q is not supported", name)
		}
	}
	return nil
}

// ignorable reports whether an answer generated without a parameter is still
// valid. Null, empty, false and zero values count as not set.
func ignorable(name string, value json.RawMessage) bool {
	if slices.Contains(ignoredParameters, name) {
		return true
	}
	switch string(bytes.TrimSpace(value)) {
	case "null", "[]", "{}", "false", `""`, "0":
		return true
	}
	return name == "response_format" && isTextFormat(value)
}

func isTextFormat(value json.RawMessage) bool {
	var f struct {
		Type string `json:"type"`
	}
	return json.Unmarshal(value, &f) == nil && f.Type == "text"
}

func promptOf(b *completionBody, chat bool) (string, *Failure) {
	if chat {
		return chatPrompt(b.messages)
	}
	var text string
	if err := json.Unmarshal(b.prompt, &text); err == nil && text != "" {
		return text, nil
	}
	var list []string
	if err := json.Unmarshal(b.prompt, &list); err == nil && len(list) == 1 && list[0] != "" {
		return list[0], nil
	}
	return "", newFailure(http.StatusBadRequest, CodeInvalidRequest, "prompt must be one string that is not empty")
}

// chatPrompt renders the messages as one text with a role line before each. It ends
// with the assistant's role line, so that the prompt of a growing conversation is a
// prefix of the next one, which lets engines reuse the KV cache.
func chatPrompt(messages []chatMessage) (string, *Failure) {
	if len(messages) == 0 {
		return "", newFailure(http.StatusBadRequest, CodeInvalidRequest, "messages must not be empty")
	}
	var sb strings.Builder
	for i, m := range messages {
		if !slices.Contains([]string{"system", "developer", "user", "assistant"}, m.Role) {
			return "", newFailure(http.StatusBadRequest, CodeInvalidRequest, "messages[%d].role %q is not supported", i, m.Role)
		}
		text, ok := contentText(m.Content)
		if !ok {
			return "", newFailure(http.StatusBadRequest, CodeInvalidRequest, "messages[%d].content must be text", i)
		}
		sb.WriteString("<|" + m.Role + "|>\n" + text + "\n")
	}
	sb.WriteString("<|assistant|>\n")
	return sb.String(), nil
}

func contentText(raw json.RawMessage) (string, bool) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, true
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	var sb strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		sb.WriteString(p.Text)
	}
	return sb.String(), true
}

func maxTokensOf(b *completionBody, rt *route.Route, chat bool) (int, *Failure) {
	limit := int(rt.MaxOutputTokens)
	n := defaultMaxTokens
	if chat {
		n = defaultChatMaxTokens
	}
	n = min(n, limit)
	if b.maxTokens != nil {
		n = *b.maxTokens
	}
	if b.maxCompletionTokens != nil {
		n = *b.maxCompletionTokens
	}
	if n < 1 || n > limit {
		return 0, newFailure(http.StatusBadRequest, CodeInvalidRequest, "max_tokens must be from 1 to %d", limit)
	}
	return n, nil
}
