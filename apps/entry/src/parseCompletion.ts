/** Parses the body of a chat completion and checks the fields that the entry depends on. */
import { describeIssue, HornbeampondError } from '@hornbeampond/schema';
import type { CompletionBody } from '@hornbeampond/adapters';
import * as z from 'zod';

/**
 * Only text answers are relayed. A tool call would be lost and its caller would receive an empty
 * answer that looks complete, so requests with tools are refused.
 */
const unsupportedTools = z.array(z.unknown()).max(0, 'tool calls are not supported').optional();

const completionSchema = z.looseObject({
  model: z.string().min(1).max(200).optional(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1),
  max_tokens: z.number().int().min(1).optional(),
  stream: z.boolean().optional(),
  tools: unsupportedTools,
  functions: unsupportedTools,
  n: z.literal(1, 'only one choice is supported').optional(),
});

/** Throws `badRequest`, with a list of all faults if the body is JSON. */
export function parseCompletion(body: Buffer): CompletionBody {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw new HornbeampondError('badRequest', 'The body is not JSON', {}, error);
  }
  const parsed = completionSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  const faults = parsed.error.issues.map((issue) => ({
    where: issue.path.join('.'),
    reason: describeIssue(issue),
  }));
  throw new HornbeampondError('badRequest', 'The body is not a chat completion', { faults });
}
