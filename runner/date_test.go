package runner

import (
	"bufio"
	"io"

	"github.com/valyala/fasthttp"
)

// The first response that is written starts a goroutine of fasthttp that never ends. It
// must not belong to a test in virtual time.
func init() {
	var resp fasthttp.Response
	if err := resp.Write(bufio.NewWriter(io.Discard)); err != nil {
		panic(err)
	}
}
