/**
 * Connects to the weight store over HTTP. Expected API:
 *
 * - `POST /loads` `{instance, model, adapter?, version?}` returns `{granted: true}`, or
 *   `{granted: false, retryAfterMilliseconds}` (both with status 200).
 * - `GET /rate` returns `{loadsPerMinute, available}`.
 */
import {
  WeightStoreAdapter,
  type LoadPermission,
  type LoadRate,
  type LoadRequest,
} from '../WeightStoreAdapter.js';
import { HttpConnections } from './HttpConnections.js';
import { readJson } from './readAnswer.js';
import { loadPermissionSchema, loadRateSchema } from './wireSchemas.js';

export class HttpWeightStoreAdapter extends WeightStoreAdapter {
  private readonly connections: HttpConnections;

  /** @param url - Base URL of the store; only its origin is used. */
  constructor(url: string) {
    super();
    this.connections = new HttpConnections(new URL(url).origin);
  }

  override async requestLoad(request: LoadRequest, signal: AbortSignal): Promise<LoadPermission> {
    const answer = await this.connections.send({
      method: 'POST',
      path: '/loads',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(request),
      signal,
    });
    const permission = await readJson(loadPermissionSchema, answer);
    return permission.granted
      ? { type: 'granted' }
      : { type: 'refused', retryAfter: permission.retryAfterMilliseconds };
  }

  override async readRate(signal: AbortSignal): Promise<LoadRate> {
    return readJson(
      loadRateSchema,
      await this.connections.send({ method: 'GET', path: '/rate', signal }),
    );
  }

  override async close(): Promise<void> {
    await this.connections.close();
  }
}
