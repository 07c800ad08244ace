#!/usr/bin/env python3
"""Prints what a settings file asks to be started, one line each, for tools/start_deployment.sh."""
import json
import sys
import tomllib

with open(sys.argv[1], "rb") as file:
    settings = tomllib.load(file)
kinds = {service["name"]: service["kind"] for service in settings["services"]}
print("store", settings["platform"]["store_address"])
print("vms", settings["platform"]["vm_list_address"])
vms = []
for entry in settings["entries"]:
    print("entry", entry["name"], entry["http_address"])
    vms.append({"name": entry["name"], "role": "entry", "address": entry["peer_address"], "service": "",
                "failure_domain": entry["failure_domain"], "state": "live"})
for target in settings["targets"]:
    print("target", target["name"], kinds[target["service"]], target["backend_address"], target["max_running"],
          target.get("cache_capacity", 0), str(target.get("checks_fencing", False)).lower())
    vms.append({"name": target["name"], "role": "target", "address": target["peer_address"],
                "service": target["service"], "failure_domain": target["failure_domain"], "state": "live"})
print("list", json.dumps(vms))
