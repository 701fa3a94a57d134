package load

import (
	"fmt"
	"io"
	"strings"
)

// Plot dimensions in pixels.
const (
	plotWidth  = 800
	plotHeight = 300
	plotMargin = 40
)

// Plot writes an SVG chart of the completions offered in each second of the run
// and of those among them that met their targets.
func (r *Report) Plot(w io.Writer) error {
	highest := 1
	for _, s := range r.seconds {
		highest = max(highest, s.offered)
	}
	point := func(i, value int) string {
		x := plotMargin + float64(i)*(plotWidth-2*plotMargin)/float64(max(1, len(r.seconds)-1))
		y := plotHeight - plotMargin - float64(value)*(plotHeight-2*plotMargin)/float64(highest)
		return fmt.Sprintf("%.1f,%.1f", x, y)
	}
	var offered, good []string
	for i, s := range r.seconds {
		offered = append(offered, point(i, s.offered))
		good = append(good, point(i, s.good))
	}
	_, err := fmt.Fprintf(w, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">
<rect width="100%%" height="100%%" fill="white"/>
<polyline fill="none" stroke="gray" points="%s"/>
<polyline fill="none" stroke="green" stroke-width="2" points="%s"/>
<text x="%d" y="15">completions per second of arrival (0 to %d): gray offered, green within targets</text>
<text x="%d" y="%d">0 s</text><text x="%d" y="%d">%d s</text>
<text x="%d" y="30">%s</text>
</svg>
`, plotWidth, plotHeight, strings.Join(offered, " "), strings.Join(good, " "),
		plotMargin, highest, plotMargin, plotHeight-10, plotWidth-2*plotMargin, plotHeight-10, len(r.seconds),
		plotMargin, r.Summary())
	return err
}
