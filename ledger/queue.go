package ledger

// chunkLength is the number of elements in a chunk.
const chunkLength = 4096

// queue is a FIFO queue whose elements keep their positions. It stores elements
// in chunks, so that growing copies no elements and the memory of a chunk is freed
// once all its elements are removed.
type queue[T any] struct {
	chunks [][]T
	// base is the position of the first element of chunks[0].
	base uint64
	// head is the position of the first element, tail the one after the last.
	head uint64
	tail uint64
}

func (q *queue[T]) len() int {
	return int(q.tail - q.head)
}

// push appends v and returns its position.
func (q *queue[T]) push(v T) uint64 {
	i := q.tail - q.base
	if int(i/chunkLength) == len(q.chunks) {
		q.chunks = append(q.chunks, make([]T, chunkLength))
	}
	pos := q.tail
	q.tail++
	*q.at(pos) = v
	return pos
}

// at returns the element at pos, which must be at least head and less than tail.
func (q *queue[T]) at(pos uint64) *T {
	i := pos - q.base
	return &q.chunks[i/chunkLength][i%chunkLength]
}

func (q *queue[T]) front() *T {
	return q.at(q.head)
}

func (q *queue[T]) pop() {
	var zero T
	*q.front() = zero
	q.head++
	if q.head-q.base < chunkLength {
		return
	}
	q.chunks[0] = nil
	q.chunks = q.chunks[1:]
	q.base += chunkLength
}
