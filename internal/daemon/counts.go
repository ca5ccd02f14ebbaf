package daemon

import (
	"sync"
	"time"

	pb "gannethook/internal/control/controlpb"
	"gannethook/internal/driver"
	"gannethook/internal/settings"
)

// counts counts the outcomes of requests in this process, by class.
type counts struct {
	mu      sync.Mutex
	order   []string // of the classes in the settings
	byClass map[string]*pb.Counts
}

func newCounts(cfg *settings.File) *counts {
	c := &counts{byClass: map[string]*pb.Counts{}}
	for _, class := range cfg.Classes {
		c.order = append(c.order, class.Name)
		c.byClass[class.Name] = &pb.Counts{Class: class.Name}
	}
	return c
}

// add counts a request that has ended. A served one is in time if its first token came within the target latency of its
// class in cfg.
func (c *counts) add(cfg *settings.File, s driver.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.byClass[s.Class]
	if count == nil {
		return
	}
	switch s.Outcome {
	case driver.Served:
		count.Served++
		for _, class := range cfg.Classes {
			target := class.Aim + time.Duration(float64(class.AimPer1000)*s.PromptSize/1000)
			if class.Name == s.Class && s.FirstToken <= target {
				count.InTime++
			}
		}
	case driver.Refused:
		count.Refused++
	case driver.Failed:
		count.Failed++
	case driver.Cancelled:
		count.Cancelled++
	}
}

func (c *counts) list() []*pb.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*pb.Counts
	for _, name := range c.order {
		count := c.byClass[name]
		list = append(list, &pb.Counts{Class: count.Class, Served: count.Served, Refused: count.Refused, Failed: count.Failed,
			Cancelled: count.Cancelled, InTime: count.InTime})
	}
	return list
}
