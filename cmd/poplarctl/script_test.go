package main

import (
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"poplarwind/internal/faker"
)

// TestMain makes poplarctl and a platform stand-in commands of the scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"poplarctl":    main,
		"fakeplatform": fakePlatform,
	})
}

// fakePlatform serves at the address in its first argument until a signal.
func fakePlatform() {
	l, err := net.Listen("tcp", os.Args[1])
	if err != nil {
		panic(err)
	}
	var p faker.Platform
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() { <-stop; os.Exit(0) }()
	_ = p.Serve(l)
}

// TestScripts runs testdata/*.txtar. Each script has a free address in
// $POPLARWIND_PLATFORM, and "reach ADDRESS" waits until something listens.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			defer l.Close()
			e.Setenv("POPLARWIND_PLATFORM", l.Addr().String())
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"reach": reach,
			"code":  exits,
			"post":  post,
		},
	})
}

func reach(s *testscript.TestScript, _ bool, args []string) {
	for range 250 {
		c, err := net.Dial("tcp", args[0])
		if err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.Fatalf("nothing listens at %s", args[0])
}

// exits runs the rest of its arguments and wants the exit code of the first.
func exits(s *testscript.TestScript, _ bool, args []string) {
	err := s.Exec(args[1], args[2:]...)
	got := "exit status 0"
	if err != nil {
		got = err.Error()
	}
	if !strings.HasSuffix(got, "exit status "+args[0]) {
		s.Fatalf("%v: got: %s want: exit status %s", args[1:], got, args[0])
	}
}

// post sends its third argument to a path of a stand-in.
func post(s *testscript.TestScript, _ bool, args []string) {
	s.Check(faker.Post(args[0], args[1], []byte(args[2])))
}
