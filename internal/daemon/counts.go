package daemon

import (
	"sync"
	"time"

	pb "gannethook/internal/control/controlpb"
	"gannethook/internal/driver"
	"gannethook/internal/settings"
)

// counts is how requests ended in this life of the router, by class.
type counts struct {
	mu    sync.Mutex
	order []string
	by    map[string]*pb.Counts
}

func newCounts(cfg *settings.File) *counts {
	c := &counts{by: map[string]*pb.Counts{}}
	for _, class := range cfg.Classes {
		c.order = append(c.order, class.Name)
		c.by[class.Name] = &pb.Counts{Class: class.Name}
	}
	return c
}

func (c *counts) add(cfg *settings.File, s driver.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.by[s.Class]
	if n == nil {
		return
	}
	switch s.Outcome {
	case driver.Served:
		n.Served++
		for _, class := range cfg.Classes {
			aim := class.Aim + time.Duration(float64(class.AimPer1000)*s.PromptSize/1000)
			if class.Name == s.Class && s.FirstToken <= aim {
				n.InTime++
			}
		}
	case driver.Refused:
		n.Refused++
	case driver.Failed:
		n.Failed++
	case driver.Cancelled:
		n.Cancelled++
	}
}

func (c *counts) list() []*pb.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*pb.Counts
	for _, name := range c.order {
		n := c.by[name]
		list = append(list, &pb.Counts{Class: n.Class, Served: n.Served, Refused: n.Refused, Failed: n.Failed,
			Cancelled: n.Cancelled, InTime: n.InTime})
	}
	return list
}
