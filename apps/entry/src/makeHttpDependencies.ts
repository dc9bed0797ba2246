/**
 * Creates the dependencies of an entry whose platform and backend servers use this project's own
 * HTTP APIs.
 */
import {
  HttpEngineAdapter,
  HttpPlainServiceAdapter,
  HttpPlatformAdapter,
  type ServerConnector,
} from '@hornbeampond/adapters';
import type { AttemptTarget } from '@hornbeampond/entry-core';
import type { EntrySettings } from '@hornbeampond/schema';
import type { BackendServerAdapter } from './AdapterDirectory.js';
import type { EntryDependencies } from './EntryProcess.js';

function makeHttpAdapter(target: AttemptTarget, connector: ServerConnector): BackendServerAdapter {
  const path = { connector, server: target };
  return target.kind === 'modelEngine'
    ? { kind: 'modelEngine', adapter: new HttpEngineAdapter(target, path) }
    : { kind: 'plainService', adapter: new HttpPlainServiceAdapter({ ...target, path }) };
}

export function makeHttpDependencies(settings: EntrySettings): EntryDependencies {
  return {
    platform: new HttpPlatformAdapter(settings.platform.url),
    makeAdapter: makeHttpAdapter,
  };
}
