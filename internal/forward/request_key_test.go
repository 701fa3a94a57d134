package forward

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a tenant whose requests are refused because those of another one crash
// upstreams: the end of a body was taken for the beginning of a tenant's name.
func TestRequestKeyTellsBodyAndTenantApart(t *testing.T) {
	key := func(body, tenant string) uint64 {
		x := &exchange{service: &Service{Name: "s"}, r: httptest.NewRequest("POST", "http://h.example/a?b", nil), body: []byte(body)}
		if tenant != "" {
			x.tenant = &Tenant{Name: tenant}
		}
		return x.requestKey()
	}
	keys := map[uint64]string{}
	for _, pair := range [][2]string{{"abc", ""}, {"ab", "c"}, {"a", "bc"}, {"", "abc"}, {"", ""}, {"", "c"}} {
		k := key(pair[0], pair[1])
		require.Empty(t, keys[k], "body and tenant with the key of %q", pair)
		keys[k] = pair[0] + "," + pair[1]
	}
	require.EqualValues(t, uint64(0xef11af7547d7ac4e), key("abc", ""), "the key of earlier builds")
}
