// Package registry puts a stand-in that runs as its own process on the machine
// list of the stand-in platform.
package registry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/api"
)

// ErrRegister is the class of failures to register.
var ErrRegister = errs.Class("register")

const (
	attempts     = 50
	attemptPause = 200 * time.Millisecond
)

// Register puts a machine on the list. It tries again for a while, since the
// platform may still be starting.
func Register(platformAddress string, machine api.Machine) error {
	body, err := json.Marshal(machine)
	if err != nil {
		return ErrRegister.Wrap(err)
	}
	for range attempts {
		if err = put("http://"+platformAddress+"/lab/machines/"+machine.Name, body); err == nil {
			return nil
		}
		time.Sleep(attemptPause)
	}
	return ErrRegister.Wrap(err)
}

func put(url string, body []byte) error {
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return ErrRegister.New("status %d", response.StatusCode)
	}
	return nil
}
