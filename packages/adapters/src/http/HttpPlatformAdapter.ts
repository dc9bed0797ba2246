/**
 * Connects to the platform over HTTP. Expected API:
 *
 * - `GET /instances` returns `{instances: [...]}`.
 * - `POST /instances` `{pool, dataCentre, instanceClass, startToken}` returns `{instance}`, or
 *   `{refused: reason}` with status 409. A repeated token returns the instance of the first answer.
 * - `DELETE /instances/NAME`; 404 if the instance does not exist.
 * - `GET /notices` returns `{notices: [{instance, goneAt}]}` with all notices in force.
 */
import type { PlatformInstance, SkippedInstance } from '@hornbeampond/schema';
import { KnownInstances } from '../KnownInstances.js';
import {
  PlatformAdapter,
  type InstanceStart,
  type InstanceStartResult,
  type ReclaimNotice,
} from '../PlatformAdapter.js';
import { decodeInstanceRows, decodeNotices } from './decodeInstanceRows.js';
import { HttpConnections } from './HttpConnections.js';
import {
  MAX_JSON_BYTES,
  parseJson,
  readBytes,
  readJson,
  discardSuccessfulAnswer,
} from './readAnswer.js';
import { instanceListSchema, instanceStartSchema, noticesSchema } from './wireSchemas.js';

const CONFLICT_STATUS = 409;
const NOT_FOUND_STATUS = 404;

export class HttpPlatformAdapter extends PlatformAdapter {
  private readonly connections: HttpConnections;

  private readonly known = new KnownInstances();

  /** @param url - Base URL of the API; only its origin is used. */
  constructor(url: string) {
    super();
    this.connections = new HttpConnections(new URL(url).origin);
  }

  override async listInstances(signal: AbortSignal): Promise<readonly PlatformInstance[]> {
    const answer = await this.connections.send({ method: 'GET', path: '/instances', signal });
    const { instances: rows } = await readJson(instanceListSchema, answer);
    const skipped: SkippedInstance[] = [];
    const instances = this.known.update(decodeInstanceRows(rows, skipped), skipped);
    if (skipped.length > 0) this.onSkipped(skipped);
    return instances;
  }

  override async startInstance(
    start: InstanceStart,
    signal: AbortSignal,
  ): Promise<InstanceStartResult> {
    const answer = await this.connections.send({
      method: 'POST',
      path: '/instances',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(start),
      signal,
    });
    const result =
      answer.status === CONFLICT_STATUS
        ? parseJson(instanceStartSchema, String(await readBytes(answer, MAX_JSON_BYTES)))
        : await readJson(instanceStartSchema, answer);
    return 'refused' in result
      ? { type: 'refused', reason: result.refused }
      : { type: 'started', instance: result.instance };
  }

  override async endInstance(instance: string, signal: AbortSignal): Promise<void> {
    const path = `/instances/${encodeURIComponent(instance)}`;
    const answer = await this.connections.send({ method: 'DELETE', path, signal });
    if (answer.status === NOT_FOUND_STATUS) {
      await readBytes(answer, MAX_JSON_BYTES);
      return;
    }
    await discardSuccessfulAnswer(answer);
  }

  override async readNotices(signal: AbortSignal): Promise<readonly ReclaimNotice[]> {
    const answer = await this.connections.send({ method: 'GET', path: '/notices', signal });
    const { notices: rows } = await readJson(noticesSchema, answer);
    const skipped: SkippedInstance[] = [];
    const notices = decodeNotices(rows, skipped);
    if (skipped.length > 0) this.onSkipped(skipped);
    return notices;
  }

  override async close(): Promise<void> {
    await this.connections.close();
  }
}
