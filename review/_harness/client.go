package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var requestCount atomic.Int64

// result is how a caller's request ended; status is 0 without a whole answer.
type result struct {
	id     string
	edge   int
	sentAt time.Time
	status int
	body   string
	err    error
}

// firstEventPatience is how long a client waits for the first event of a stream: four times the
// objective.
const firstEventPatience = 3600 * time.Millisecond

var streamClient = &http.Client{Transport: &http.Transport{ResponseHeaderTimeout: firstEventPatience}}

// send sends one request on a new connection.
func (s *system) send(edge int, method, path string, body string, headers map[string]string, timeout time.Duration) result {
	res := result{id: fmt.Sprintf("q%08d", requestCount.Add(1)), edge: edge, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.front(edge)+path, strings.NewReader(body))
	check(err)
	req.Host = "desk.example"
	req.Close = true
	req.GetBody = nil
	req.Header.Set(wire["id"], res.id)
	req.Header.Set(wire["deadline"], fmt.Sprint(timeout.Milliseconds()))
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	s.rec.add("client sends %s %s %s to %s", res.id, method, path, s.edges[edge%len(s.edges)].Name)
	client := http.DefaultClient
	if headers[wire["model"]] != "" {
		client = streamClient
	}
	resp, err := client.Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			res.status, res.body = resp.StatusCode, string(b)
		}
	}
	res.err = err
	if err != nil {
		s.rec.add("client of %s: no answer: %v", res.id, err)
	} else {
		s.rec.add("client of %s: %d %s", res.id, res.status, strings.TrimSpace(res.body))
	}
	return res
}

// burst sends commits and peeks to all edges at once, and returns a function that waits for the
// answers and counts them by status.
func (s *system) burst(n int) (wait func() map[int]int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[int]int{}
	for i := range n {
		wg.Go(func() {
			path, method, body := "/commit/x", http.MethodPost, "drums=1"
			if i/len(s.edges)%2 == 1 {
				path, method, body = "/peek/x", http.MethodGet, ""
			}
			r := s.send(i, method, path, body, nil, 1500*time.Millisecond)
			mu.Lock()
			answers[r.status]++
			mu.Unlock()
		})
	}
	return func() map[int]int {
		wg.Wait()
		return answers
	}
}

// bursts sends n requests at once, count times.
func (s *system) bursts(n, count int, pause time.Duration) {
	for range count {
		s.rec.add("answers by status: %v", s.burst(n)())
		time.Sleep(pause)
	}
}
