package demo

import (
	"time"

	"github.com/agateusher/agateusher/operator"
	"github.com/agateusher/agateusher/operator/apiserver"
	"github.com/agateusher/agateusher/settings"
)

// apiStopNotice is how long usher-api continues to serve after SIGTERM.
const apiStopNotice = 100 * time.Millisecond

// apiSettings returns the settings of usher-api.
func (r *run) apiSettings() apiserver.Settings {
	s := apiserver.Default()
	s.Listener = r.api
	s.Platform.URL = "http://" + r.platform
	s.Tokens = []operator.Token{{Name: "demo", Secret: r.secrets.token}}
	s.Stop.Notice = settings.Duration(apiStopNotice)
	for _, h := range r.hosts {
		s.Hosts.List = append(s.Hosts.List, apiserver.ListedHost{ID: h.ID, DataCentre: h.DataCentre, AdminAddress: h.admin})
	}
	return s
}
