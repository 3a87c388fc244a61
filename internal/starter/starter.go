// Package starter starts the goroutines of libraries that never end. Tests in virtual time
// import it: such a goroutine must not belong to one of them.
package starter

import (
	"bufio"
	"io"

	"github.com/valyala/fasthttp"
)

// The first response that fasthttp writes starts the goroutine that keeps its date.
func init() {
	var resp fasthttp.Response
	if err := resp.Write(bufio.NewWriter(io.Discard)); err != nil {
		panic(err)
	}
}
