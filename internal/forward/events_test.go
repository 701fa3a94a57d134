package forward

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// piecewise returns the pieces of a body, each from a Read of its own.
type piecewise struct{ pieces []string }

func (p *piecewise) Read(b []byte) (int, error) {
	if len(p.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.pieces[0])
	if p.pieces[0] = p.pieces[0][n:]; p.pieces[0] == "" {
		p.pieces = p.pieces[1:]
	}
	return n, nil
}

// readEvents returns all events of a body and the error that ended it.
func readEvents(body io.Reader) (list []event, err error) {
	rd := &eventReader{rd: bufio.NewReaderSize(body, readBufferBytes)}
	for {
		ev, err := rd.next()
		if err != nil {
			return list, err
		}
		list = append(list, ev)
	}
}

// Guards against events that are read wrongly, and so come twice, because a line is longer
// than the reader's buffer, arrives in parts or ends with a CR.
func TestLongLinesOfEventsAreReadLikeShortOnes(t *testing.T) {
	long := strings.Repeat("x", 3*readBufferBytes)
	for name, c := range map[string]struct {
		text, id string
		hasData  bool
	}{
		"long data":                       {"data: " + long + "\n\n", "", true},
		"long data, no space":             {"data:" + long + "\n\n", "", true},
		"data, id, long":                  {"data: " + long + "\nid: 7\n\n", "7", true},
		"long id":                         {"id: " + long + "\ndata: a\n\n", long, true},
		"long comment":                    {": " + long + "data: a\n\n", "", false},
		"long other field":                {"data" + long + ": a\n\n", "", false},
		"data without a colon":            {"data\n\n", "", true},
		"id without a colon":              {"id: 7\nid\ndata: a\n\n", "", true},
		"CR LF":                           {"id: 7\r\ndata: " + long + "\r\n\r\n", "7", true},
		"CR":                              {"id: 7\rdata: " + long + "\r\r", "7", true},
		"line that ends at the buffer":    {"data: " + long[:readBufferBytes-7] + "\n\n", "", true},
		"CR at the end of the buffer":     {"data: " + long[:readBufferBytes-7] + "\r\nid: 7\r\n\r\n", "7", true},
		"only a CR fits into the buffer":  {"data: " + long[:readBufferBytes-7] + "\rid: 7\r\r", "7", true},
		"id in a line that ends with CR":  {"data: a\rid: 7\n\n", "7", true},
		"id after a byte order mark":      {"\ufeffid: 7\ndata: a\n\n", "7", true},
		"longest":                         {"data: " + strings.Repeat("x", maxEventBytes-8) + "\n\n", "", true},
		"comment that names fields":       {":data: a\n\n", "", false},
		"value that begins with a colon":  {"data::\n\n", "", true},
		"value that begins with a space":  {"id:  7\ndata: a\n\n", " 7", true},
		"last value of an id that is set": {"id: 6\nid: 7\ndata: a\n\n", "7", true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, body := range map[string]io.Reader{
				"at once":            strings.NewReader(c.text),
				"byte by byte":       iotest.OneByteReader(strings.NewReader(c.text)),
				"first part earlier": &piecewise{[]string{c.text[:3], c.text[3:]}},
				"end with the data":  iotest.DataErrReader(strings.NewReader(c.text)),
			} {
				list, err := readEvents(body)
				require.Equal(t, io.EOF, err)
				require.Len(t, list, 1)
				require.True(t, c.text == string(list[0].raw), "the event is not as received")
				require.True(t, c.id == list[0].id, "id %.20q", list[0].id)
				require.Equal(t, c.hasData, list[0].hasData)
			}
		})
	}
}

// Guards against events of any form of line ends that are joined, torn or kept back until
// the next one arrives.
func TestEventsAreReadWhenTheyAreComplete(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		first, second := "id: 1"+lineEnd+"data: a"+lineEnd+lineEnd, "data: b"+lineEnd+lineEnd
		in, out := io.Pipe()
		rd := &eventReader{rd: bufio.NewReaderSize(in, readBufferBytes)}
		for _, text := range []string{first, second} {
			go func() { _, _ = io.WriteString(out, text) }()
			ev, err := rd.next()
			require.NoError(t, err)
			require.Equal(t, text, string(ev.raw))
		}
		go func() {
			_, _ = io.WriteString(out, "data: c"+lineEnd)
			_ = out.Close()
		}()
		_, err := rd.next()
		require.Equal(t, io.ErrUnexpectedEOF, err, "line end %q", lineEnd)
	}
	_, err := readEvents(strings.NewReader("data: " + strings.Repeat("x", maxEventBytes) + "\n\n"))
	require.Equal(t, errEventTooLong, err)
	// Whatever the line ends are, all bytes are passed on.
	for _, text := range []string{"data: a\r\r\ndata: b\n\r\n", "data: a\n\rdata: b\r\n\r", "\n\n\r\r\r\n\n"} {
		list, err := readEvents(&piecewise{strings.SplitAfter(text, "\r")})
		require.Equal(t, io.EOF, err)
		raw := ""
		for _, ev := range list {
			raw += string(ev.raw)
		}
		require.Equal(t, text, raw)
	}
}
