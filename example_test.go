package gannethook_test

import (
	"fmt"

	"gannethook"
)

// A router with one reader and one writer sends a prompt to the reader and asks the writer for a place.
func ExampleRouter_Handle() {
	router, err := gannethook.New(gannethook.Settings{
		Routers: 1,
		Classes: []gannethook.Class{{Aim: 1000, Worth: 1, Effect: gannethook.Safe, Streamed: true}},
		Kinds:   []gannethook.Kind{{Role: gannethook.Reader}, {Role: gannethook.Writer, Memory: 1e5}},
		Holds:   true, PinLimit: 500,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	router.Handle(1000, gannethook.Membership{Whole: true, Servers: []gannethook.Server{
		{ID: "reader", Kind: 0, State: gannethook.Ready},
		{ID: "writer", Kind: 1, State: gannethook.Ready},
	}})
	for _, action := range router.Handle(1010, gannethook.Request{ID: 1, Budget: 5000, Prompt: 900, MaxOut: 100}) {
		switch a := action.(type) {
		case gannethook.Send:
			fmt.Println("send to", a.Server)
		case gannethook.Hold:
			fmt.Println("hold at", a.Server)
		}
	}
	// Output:
	// send to reader
	// hold at writer
}
