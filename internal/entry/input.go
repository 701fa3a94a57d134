package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"godwitward.example/godwitward/internal/route"
)

// input is a validated body of a completions or chat completions request.
type input struct {
	chat         bool
	model        string
	prompt       string
	prefixHashes []uint64
	maxTokens    int
	stream       bool
	includeUsage bool
}

// completionBody lists the parameters that have a meaning here. The others are
// in ignoredParameters or are refused.
type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	N                   *int            `json:"n"`
	BestOf              *int            `json:"best_of"`
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
	// defaultMaxTokens applies when the caller names no limit, as in the
	// common completions API.
	defaultMaxTokens = 16
	// defaultChatMaxTokens is the same for chat completions.
	defaultChatMaxTokens = 1024
)

// knownParameters are the fields of completionBody.
var knownParameters = []string{
	"model", "prompt", "messages", "max_tokens", "max_completion_tokens", "stream", "stream_options", "n", "best_of",
}

// ignoredParameters tune the sampling or label the request. The engine protocol
// does not carry them, and an answer without them is still a valid answer.
var ignoredParameters = []string{
	"temperature", "top_p", "top_k", "seed", "presence_penalty", "frequency_penalty", "user", "metadata", "store",
	"service_tier", "safety_identifier", "prompt_cache_key",
}

// parseInput validates a body. Nothing was sent upstream when it fails.
func parseInput(rt *route.Route, chat bool, body []byte) (*input, *Failure) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, refuse(http.StatusBadRequest, CodeInvalidJSON, "the body is not a JSON object: %v", err)
	}
	if f := checkParameters(fields); f != nil {
		return nil, f
	}
	b := &completionBody{}
	if err := json.Unmarshal(body, b); err != nil {
		return nil, refuse(http.StatusBadRequest, CodeInvalidRequest, "%v", err)
	}
	if b.N != nil && *b.N != 1 || b.BestOf != nil && *b.BestOf != 1 {
		return nil, refuse(http.StatusBadRequest, CodeUnsupportedParameter, "n and best_of must be 1")
	}
	in := &input{chat: chat, stream: b.Stream, includeUsage: b.StreamOptions != nil && b.StreamOptions.IncludeUsage}
	var f *Failure
	if in.prompt, f = promptOf(b, chat); f != nil {
		return nil, f
	}
	if in.maxTokens, f = maxTokensOf(b, rt, chat); f != nil {
		return nil, f
	}
	var ok bool
	if in.model, ok = rt.ModelFor(b.Model); !ok {
		return nil, refuse(http.StatusNotFound, CodeUnknownModel, "the route does not serve model %q", b.Model)
	}
	return in, nil
}

// checkParameters refuses parameters that would change the meaning of the
// answer and that the engines cannot honour. Null and empty values ask for
// nothing.
func checkParameters(fields map[string]json.RawMessage) *Failure {
	for name, value := range fields {
		if slices.Contains(knownParameters, name) || slices.Contains(ignoredParameters, name) {
			continue
		}
		switch string(bytes.TrimSpace(value)) {
		case "null", "[]", "{}", "false", `""`, "0":
			continue
		}
		if name == "response_format" && isTextFormat(value) {
			continue
		}
		return refuse(http.StatusBadRequest, CodeUnsupportedParameter, "parameter %q is not supported", name)
	}
	return nil
}

func isTextFormat(value json.RawMessage) bool {
	var f struct {
		Type string `json:"type"`
	}
	return json.Unmarshal(value, &f) == nil && f.Type == "text"
}

func promptOf(b *completionBody, chat bool) (string, *Failure) {
	if chat {
		return chatPrompt(b.Messages)
	}
	var text string
	if err := json.Unmarshal(b.Prompt, &text); err == nil && text != "" {
		return text, nil
	}
	var list []string
	if err := json.Unmarshal(b.Prompt, &list); err == nil && len(list) == 1 && list[0] != "" {
		return list[0], nil
	}
	return "", refuse(http.StatusBadRequest, CodeInvalidRequest, "prompt must be one string that is not empty")
}

// chatPrompt renders messages as one text with a line for each role, which
// keeps the prompt of a growing conversation a prefix of the next one.
func chatPrompt(messages []chatMessage) (string, *Failure) {
	if len(messages) == 0 {
		return "", refuse(http.StatusBadRequest, CodeInvalidRequest, "messages must not be empty")
	}
	var sb strings.Builder
	for i, m := range messages {
		if !slices.Contains([]string{"system", "developer", "user", "assistant"}, m.Role) {
			return "", refuse(http.StatusBadRequest, CodeInvalidRequest, "messages[%d].role %q is not supported", i, m.Role)
		}
		text, ok := contentText(m.Content)
		if !ok {
			return "", refuse(http.StatusBadRequest, CodeInvalidRequest, "messages[%d].content must be text", i)
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
	if b.MaxTokens != nil {
		n = *b.MaxTokens
	}
	if b.MaxCompletionTokens != nil {
		n = *b.MaxCompletionTokens
	}
	if n < 1 || n > limit {
		return 0, refuse(http.StatusBadRequest, CodeInvalidRequest, "max_tokens must be from 1 to %d", limit)
	}
	return n, nil
}
