package entry

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"godwitward.example/godwitward/internal/request"
)

// Values of the object field in the completions APIs.
const (
	objectText      = "text_completion"
	objectChat      = "chat.completion"
	objectChatChunk = "chat.completion.chunk"
)

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	Logprobs     *string `json:"logprobs"`
	FinishReason string  `json:"finish_reason"`
}

type responseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatChoice struct {
	Index        int             `json:"index"`
	Message      responseMessage `json:"message"`
	Logprobs     *string         `json:"logprobs"`
	FinishReason string          `json:"finish_reason"`
}

type completionResponse struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices any    `json:"choices"`
	Usage   *usage `json:"usage"`
}

func usageOf(o request.Outcome) *usage {
	return &usage{PromptTokens: o.PromptTokens, CompletionTokens: o.OutputTokens, TotalTokens: o.PromptTokens + o.OutputTokens}
}

func completionID(c *call, in *completionParams) string {
	if in.chat {
		return "chatcmpl-" + c.id
	}
	return "cmpl-" + c.id
}

// encodeCompletion encodes the body of a response that is not streamed.
func encodeCompletion(c *call, in *completionParams, text string, o request.Outcome) ([]byte, error) {
	body := completionResponse{ID: completionID(c, in), Object: objectText, Created: c.accepted.Unix(), Model: in.model, Usage: usageOf(o)}
	if in.chat {
		body.Object = objectChat
		body.Choices = []chatChoice{{Message: responseMessage{Role: "assistant", Content: text}, FinishReason: o.Finish}}
	} else {
		body.Choices = []textChoice{{Text: text, FinishReason: o.Finish}}
	}
	return json.Marshal(body)
}

// chunkEncoder encodes the server-sent events of one streamed response. The parts
// that all events share are encoded once.
type chunkEncoder struct {
	chat        bool
	eventPrefix []byte // event up to the value of "choices"
	tokenPrefix []byte // token event up to the text
	tokenSuffix []byte // token event after the text
}

func newChunkEncoder(c *call, in *completionParams) *chunkEncoder {
	object := objectText
	if in.chat {
		object = objectChatChunk
	}
	e := &chunkEncoder{chat: in.chat}
	e.eventPrefix = append(e.eventPrefix, `data: {"id":"`+completionID(c, in)+`","object":"`+object+`","created":`...)
	e.eventPrefix = strconv.AppendInt(e.eventPrefix, c.accepted.Unix(), 10)
	e.eventPrefix = append(e.eventPrefix, `,"model":`...)
	e.eventPrefix = appendJSONString(e.eventPrefix, in.model)
	e.eventPrefix = append(e.eventPrefix, `,"choices":`...)
	if in.chat {
		e.tokenPrefix = append(append(e.tokenPrefix, e.eventPrefix...), `[{"index":0,"delta":{"content":`...)
		e.tokenSuffix = []byte("},\"logprobs\":null,\"finish_reason\":null}]}\n\n")
	} else {
		e.tokenPrefix = append(append(e.tokenPrefix, e.eventPrefix...), `[{"index":0,"text":`...)
		e.tokenSuffix = []byte(",\"logprobs\":null,\"finish_reason\":null}]}\n\n")
	}
	return e
}

// appendRole appends the event with the role, which starts a chat response. Text
// completions have none.
func (e *chunkEncoder) appendRole(buf []byte) []byte {
	if !e.chat {
		return buf
	}
	buf = append(buf, e.eventPrefix...)
	return append(buf, `[{"index":0,"delta":{"role":"assistant","content":""},"logprobs":null,"finish_reason":null}]}`+"\n\n"...)
}

func (e *chunkEncoder) appendToken(buf []byte, text string) []byte {
	buf = append(buf, e.tokenPrefix...)
	buf = appendJSONString(buf, text)
	return append(buf, e.tokenSuffix...)
}

// appendFinal appends the event with the finish reason, the usage event if
// includeUsage is set, and the [DONE] event.
func (e *chunkEncoder) appendFinal(buf []byte, o request.Outcome, includeUsage bool) []byte {
	buf = append(buf, e.eventPrefix...)
	if e.chat {
		buf = append(buf, `[{"index":0,"delta":{},"logprobs":null,"finish_reason":`...)
	} else {
		buf = append(buf, `[{"index":0,"text":"","logprobs":null,"finish_reason":`...)
	}
	buf = appendJSONString(buf, o.Finish)
	buf = append(buf, "}]}\n\n"...)
	if includeUsage {
		buf = append(buf, e.eventPrefix...)
		buf = append(buf, `[],"usage":`...)
		// Encoding a struct of integers never fails.
		u, _ := json.Marshal(usageOf(o))
		buf = append(append(buf, u...), "}\n\n"...)
	}
	return append(buf, "data: [DONE]\n\n"...)
}

// appendJSONString appends s as a JSON string. ASCII text that needs no escapes is
// copied, which saves an allocation for nearly every token.
func appendJSONString(buf []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			// Encoding a string never fails.
			b, _ := json.Marshal(s)
			return append(buf, b...)
		}
	}
	buf = append(buf, '"')
	buf = append(buf, s...)
	return append(buf, '"')
}
