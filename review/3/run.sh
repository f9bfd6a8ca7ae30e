#!/usr/bin/env bash
exec "$(dirname "$0")/../play.sh" silent-answer "$(cd "$(dirname "$0")" && pwd)"
