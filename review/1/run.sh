#!/usr/bin/env bash
exec "$(dirname "$0")/../play.sh" smuggled-requests "$(cd "$(dirname "$0")" && pwd)"
