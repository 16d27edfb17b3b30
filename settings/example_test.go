package settings_test

import (
	"errors"
	"fmt"

	"github.com/pomelolock/pomelolock/settings"
)

func ExampleParse() {
	_, err := settings.Parse("entry-1.json", []byte(`{
  "fleet": "vltava",
  "instance": {"id": "entry-1", "region": "cz", "data_centre": "praha-1"},
  "listen": {"caller": "10.0.0.1:80", "peer": "10.0.0.1", "operator": "10.0.0.1:8082"},
  "platform": {"url": "http://10.0.9.1:7000", "timeout": 5},
  "plain": true,
}`))
	var faults *settings.FaultError
	if errors.As(err, &faults) {
		for _, fault := range faults.Faults {
			fmt.Println(fault)
		}
	}
	// Output:
	// entry-1.json:4: listen.peer: "10.0.0.1" is not an IP address with a port
	// entry-1.json:5: platform.timeout: unknown field
}
