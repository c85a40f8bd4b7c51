package gateway

import (
	"encoding/json"
	"net/http"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels answers with the list of models that the organisation may use.
func (c *call) serveModels() *Refusal {
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, name := range c.index.Models(c.org) {
		list.Data = append(list.Data, modelInfo{ID: name, Object: "model", OwnedBy: "merlindock"})
	}
	// Marshalling structs of strings cannot fail.
	body, _ := json.Marshal(list)
	c.writeAnswer(http.StatusOK, contentJSON, body)
	return nil
}
