package policy

// RunVersions is what the text of a run depends on besides the request. What two runs wrote
// fits together only if theirs are equal.
type RunVersions struct {
	Service string
	// Software is the version of the upstream's software.
	Software string
	Model    string
	// Weights is the version of the model's weights; empty if it is not known.
	Weights string
}

// MayGoOnAt reports whether a run may go on at an upstream with the versions u, as far as
// they are reported. An upstream whose weights are not reported tells them when it is asked.
func (v RunVersions) MayGoOnAt(u RunVersions) bool {
	if u.Weights == "" {
		u.Weights = v.Weights
	}
	return v == u
}

// SameWeights reports whether two versions of a model's weights may be the same.
func SameWeights(a, b string) bool { return a == b || a == "" || b == "" }

// WithModel returns the versions for requests for a model, and whether the upstream may
// serve it. Upstreams may report no models, and requests name none.
func (v RunVersions) WithModel(model string) (RunVersions, bool) {
	serves := v.Model == model || v.Model == "" || model == ""
	v.Model = model
	return v, serves
}
