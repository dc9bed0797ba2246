#!/usr/bin/env node
import '../dist/fakes/main.js';
