package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Guards against retries that a new scheduler does not hear of, or that are told to the
// one that has counted them.
func TestRetriesAreRestatedToTheNextScheduler(t *testing.T) {
	var u budgetUse
	now := time.Now()
	u.add(1, &pb.SubmitRequest{Attempt: 1}, now)
	u.add(1, &pb.SubmitRequest{Attempt: 2, RetrySends: 2}, now.Add(100*time.Millisecond))
	u.add(1, &pb.SubmitRequest{Attempt: 3}, now.Add(time.Second))
	u.add(2, &pb.SubmitRequest{Attempt: 2}, now.Add(2*time.Second))
	require.Empty(t, u.earlier(1, now.Add(time.Second))[1:])
	list := u.earlier(2, now.Add(3*time.Second))
	require.Len(t, list, 2)
	require.Equal(t, []uint32{3000, 1, 2}, []uint32{list[0].AgeMs, list[0].Requests, list[0].Retries})
	require.Equal(t, []uint32{2000, 0, 1}, []uint32{list[1].AgeMs, list[1].Requests, list[1].Retries})
	u.add(2, &pb.SubmitRequest{Attempt: 1}, now.Add(40*time.Second))
	require.Empty(t, u.earlier(2, now.Add(40*time.Second)), "what is old is forgotten")
}
