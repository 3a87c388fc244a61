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

// TestMain makes poplarctl and a fake platform available as script commands.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"poplarctl":    main,
		"fakeplatform": fakePlatform,
	})
}

// fakePlatform serves a fake platform at the address in the first argument
// until it receives a signal.
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
// $POPLARWIND_PLATFORM, and "reach ADDRESS" waits until a listener accepts
// connections there.
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
			"reach": awaitListener,
			"code":  expectExitCode,
			"post":  post,
		},
	})
}

// awaitListener waits up to 5 s for a listener at its first argument.
func awaitListener(s *testscript.TestScript, _ bool, args []string) {
	for range 250 {
		c, err := net.Dial("tcp", args[0])
		if err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.Fatalf("no listener at %s", args[0])
}

// expectExitCode runs its second and later arguments as a command and requires
// the exit code given in the first.
func expectExitCode(s *testscript.TestScript, _ bool, args []string) {
	err := s.Exec(args[1], args[2:]...)
	got := "exit status 0"
	if err != nil {
		got = err.Error()
	}
	if !strings.HasSuffix(got, "exit status "+args[0]) {
		s.Fatalf("%v: got: %s want: exit status %s", args[1:], got, args[0])
	}
}

// post sends its third argument to a path of the fake platform.
func post(s *testscript.TestScript, _ bool, args []string) {
	s.Check(faker.Post(args[0], args[1], []byte(args[2])))
}
