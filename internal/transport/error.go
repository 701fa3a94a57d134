package transport

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Error is a failed call.
type Error struct {
	Code    pb.Status_Code
	Message string
	// Redirect is the address of the leader or lease holder, if known.
	Redirect string
	// Sent is false when the request provably never left this process.
	Sent bool
	// Undecodable is set if a message was received whole and cannot be decoded. The
	// messages after it can still be received.
	Undecodable bool
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Errorf returns an error that a handler can return to its peer.
func Errorf(code pb.Status_Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Sent: true}
}

// Code returns the status code of err: OK for nil, UNKNOWN when err is not an
// *Error.
func Code(err error) pb.Status_Code {
	if err == nil {
		return pb.Status_OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return pb.Status_UNKNOWN
}

// IsUndecodable reports whether err concerns a single received message, so that the stream
// can go on with the next one.
func IsUndecodable(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Undecodable
}

func notSentError(err error, action string) *Error {
	return &Error{Code: pb.Status_UNAVAILABLE, Message: action + ": " + err.Error()}
}

// validText replaces what cannot be encoded: an error may quote bytes from outside.
func validText(s string) string { return strings.ToValidUTF8(s, "\uFFFD") }

func statusFromError(err error) *pb.Status {
	var e *Error
	if errors.As(err, &e) {
		return &pb.Status{Code: e.Code, Message: validText(e.Message), Redirect: e.Redirect}
	}
	return &pb.Status{Code: pb.Status_UNKNOWN, Message: validText(err.Error())}
}

func errorFromStatus(s *pb.Status) *Error {
	return &Error{Code: s.Code, Message: s.Message, Redirect: s.Redirect, Sent: true}
}
