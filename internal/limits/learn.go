package limits

import "time"

// Figures of what is learned; docs/limits.md has why.
const (
	soon      = 0.4                    // part of the aim within which a first token is soon enough
	twice     = 2.0                    // or this multiple of the least part that it takes of late
	baseOver  = time.Minute            // in which a class's least part rises towards what it takes now
	slow      = 0.8                    // part of the aim that is never soon enough; a class whose least is more tells nothing
	latePart  = 0.15                   // part of a round's requests that may be late
	shrink    = 0.8                    // what a late round leaves of the room
	growPart  = 0.05                   // of the room that was too much last, in a round
	roundLong = 100 * time.Millisecond // a round's length at the least
	roundSeen = 8                      // requests that it rests on
	usualGain = 0.05                   // weight of one request in means
	inUse     = 0.8                    // part of the room that counts as put to use
)

// floor is the least part of the aim that a class's first token took of late.
type floor struct {
	part float64
	at   time.Duration
}

func (l *floor) see(now time.Duration, part float64) {
	if part > l.part {
		part = l.part + min(float64(now-l.at)/float64(baseOver), 1)*(min(part, 1)-l.part)
	}
	l.part, l.at = part, now
}

// room learns how much may be in hand at once: handed to the module, with no
// first token yet. It grows by steps while first tokens come soon and shrinks by
// a part when they do not: routers that share engines and nothing else come to
// equal parts of them (Chiu and Jain, 1989). Soon is a part of the class's aim,
// so that what waits here is in time as well, or twice what the class takes at
// the best: one that is slow by nature does not shut the room.
type room struct {
	least, most float64
	now         float64 // in requests of mean size
	high        float64 // the room that was too much last
	top         float64 // most in hand in this round
	seen, late  float64
	since       time.Duration // this round's start: what was handed on before tells of an earlier room
	usual       float64       // mean part of the aim that a first token takes
	mean        float64       // size of a request
	base        []floor       // by class
}

func newRoom(least, start, most float64, classes int) room {
	r := room{least: least, most: most, now: start, high: start, usual: soon / 2, base: make([]floor, classes)}
	for i := range r.base {
		r.base[i].part = soon / twice
	}
	return r
}

// took notes a first token that took a part of its class's aim since it was handed on.
func (r *room) took(now, handed time.Duration, class int, part float64) {
	r.usual += usualGain * (min(part, 1) - r.usual)
	late := r.slow(class, part)
	r.base[class].see(now, part)
	if r.base[class].part < slow {
		r.note(now, handed, late)
	}
}

// slow tells whether a part of its aim is long for a class's first token.
func (r *room) slow(class int, part float64) bool {
	return part > min(max(soon, twice*r.base[class].part), slow)
}

// turned notes that the module refused: there is less room than was thought.
func (r *room) turned(now, handed time.Duration) { r.note(now, handed, true) }

func (r *room) note(now, handed time.Duration, late bool) {
	if handed < r.since && late {
		return
	}
	r.seen++
	if late {
		r.late++
	}
	if r.seen < roundSeen || now-r.since < roundLong {
		return
	}
	switch {
	case r.late > latePart*r.seen:
		// What was in hand was too much, not what could have been: a room that was never filled shrinks to it.
		r.high = min(r.now, max(r.top, r.least))
		r.now = max(r.high*shrink, r.least)
	case r.top >= r.now*inUse:
		r.now = min(r.now+max(1, growPart*r.high), r.most)
	}
	r.seen, r.late, r.top, r.since = 0, 0, 0, now
}

// sized learns the mean size of requests and gives this one's in means.
func (r *room) sized(size float64) float64 {
	if r.mean == 0 {
		r.mean = size
	}
	r.mean += usualGain * (size - r.mean)
	return size / r.mean
}

// shed is the brown-out: a level that rises while work is turned away for want
// of room, and falls when there is room. At level 1 the class of least worth is
// shed whole, at 2 the next, and between them a part; the worthiest never is.
type shed struct {
	ranks  []int // of the classes, by worth; equals alike
	top    float64
	level  float64
	asked  float64
	turned float64
	since  time.Duration
}

// Figures of the brown-out.
const (
	shedRound = 250 * time.Millisecond
	shedUp    = 0.5  // level that a round which turns all away adds
	shedDown  = 0.02 // level that a round with room takes off
	shedFrom  = 0.01 // part turned away that is let be
)

func newShed(classes []Class) shed {
	s := shed{}
	for _, c := range classes {
		rank := 0
		for i, o := range classes {
			first := true
			for _, p := range classes[:i] {
				first = first && p.Worth != o.Worth
			}
			if first && o.Worth < c.Worth {
				rank++
			}
		}
		s.ranks = append(s.ranks, rank)
		s.top = max(s.top, float64(rank))
	}
	return s
}

// drops tells whether a request of a class is shed; x is its chance, 0 to under
// 1. One that is tried again counts as of least worth: the time that its client
// has waited already is gone, and more of them come the less room there is.
func (s *shed) drops(class int, again bool, x float64) bool {
	rank := s.ranks[class]
	if again {
		rank = 0
	}
	return s.level-float64(rank) > x
}

// count counts a request that was not shed; turned tells that there was no room for it.
func (s *shed) count(turned bool) {
	s.asked++
	if turned {
		s.turned++
	}
}

// round moves the level where a round is over.
func (s *shed) round(now time.Duration) {
	if now-s.since < shedRound {
		return
	}
	part := s.turned / max(s.asked, roundSeen)
	if part > shedFrom {
		s.level = min(s.level+shedUp*part, s.top)
	} else {
		rounds := float64((now - s.since) / shedRound)
		s.level = max(s.level-shedDown*rounds, 0)
	}
	s.asked, s.turned, s.since = 0, 0, now
}
