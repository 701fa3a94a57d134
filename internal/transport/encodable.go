package transport

import (
	"unicode/utf8"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// withoutInvalidElements returns a copy of a message without the elements of its lists that
// hold a string which is not valid UTF-8 and so cannot be encoded, and their number.
func withoutInvalidElements(m proto.Message) (proto.Message, int) {
	c := proto.Clone(m)
	return c, dropInvalidElements(c.ProtoReflect())
}

func dropInvalidElements(m protoreflect.Message) int {
	dropped := 0
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.IsMap():
		case f.IsList():
			list := v.List()
			kept := 0
			for i := range list.Len() {
				if hasInvalidText(f, list.Get(i)) {
					dropped++
					continue
				}
				list.Set(kept, list.Get(i))
				kept++
			}
			list.Truncate(kept)
		case f.Message() != nil:
			dropped += dropInvalidElements(v.Message())
		}
		return true
	})
	return dropped
}

// hasInvalidText reports whether a value, or an element of a list, holds a string that is
// not valid UTF-8.
func hasInvalidText(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
	if f.Kind() == protoreflect.StringKind {
		return !utf8.ValidString(v.String())
	}
	if f.Message() == nil {
		return false
	}
	invalid := false
	v.Message().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.IsMap():
		case f.IsList():
			for i := range v.List().Len() {
				invalid = invalid || hasInvalidText(f, v.List().Get(i))
			}
		default:
			invalid = hasInvalidText(f, v)
		}
		return !invalid
	})
	return invalid
}
