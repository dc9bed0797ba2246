/**
 * The answer to a chat completion in the OpenAI format, streamed as server-sent events or sent as one
 * JSON document. It holds the text generated so far, so that another engine can resume from it.
 */
import type { ServerResponse } from 'node:http';
import { HornbeampondError } from '@hornbeampond/schema';
import type { CompletionUsage } from '@hornbeampond/adapters';
import { CallerAnswer } from './CallerAnswer.js';

export interface CompletionAnswerOptions {
  readonly model: string;
  readonly streamed: boolean;
  /** Seconds since the epoch. */
  readonly created: number;
  /** Maximum length of the generated text, in UTF-16 code units. */
  readonly maxCharacters: number;
}

export class CompletionAnswer extends CallerAnswer {
  private text = '';

  private generatedTokenCount = 0;

  private finishReason = 'stop';

  private usage: CompletionUsage | undefined;

  constructor(
    requestId: string,
    response: ServerResponse,
    private readonly options: CompletionAnswerOptions,
  ) {
    super(requestId, response);
  }

  get generatedText(): string {
    return this.text;
  }

  get generatedTokens(): number {
    return this.generatedTokenCount;
  }

  /** Undefined for an answer that is not streamed: the caller receives nothing before its end. */
  override get tokensGiven(): number | undefined {
    return this.options.streamed && this.generatedTokenCount > 0
      ? this.generatedTokenCount
      : undefined;
  }

  async writeText(text: string, tokenCount: number): Promise<void> {
    if (this.text.length + text.length > this.options.maxCharacters) {
      throw new HornbeampondError('answerCut', 'The answer exceeds the size limit');
    }
    this.text += text;
    this.generatedTokenCount += tokenCount;
    if (!this.options.streamed) return;
    this.startStream();
    await this.write(this.formatChunk({ content: text }, null));
  }

  /** Records how the engine ended the answer, for use by `finish`. */
  recordEnd(finishReason: string, usage: CompletionUsage | undefined): void {
    this.finishReason = finishReason;
    this.usage = usage;
  }

  override finish(): void {
    if (this.isClosed) return;
    if (!this.options.streamed) {
      this.sendWholeAnswer();
      return;
    }
    this.startStream();
    this.response.end(`${this.formatChunk({}, this.finishReason)}data: [DONE]\n\n`);
  }

  protected override abort(error: unknown): void {
    this.response.end(`event: error\ndata: ${this.formatError(error)}\n\n`);
  }

  private startStream(): void {
    if (this.started) return;
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      'x-request-id': this.requestId,
    });
    this.response.write(this.formatChunk({ role: 'assistant' }, null));
  }

  private formatChunk(
    delta: Readonly<Record<string, string>>,
    finishReason: string | null,
  ): string {
    const { model, created } = this.options;
    const choices = [{ index: 0, delta, finish_reason: finishReason }];
    const chunk = { id: this.requestId, object: 'chat.completion.chunk', created, model, choices };
    return `data: ${JSON.stringify(chunk)}\n\n`;
  }

  private sendWholeAnswer(): void {
    const { model, created } = this.options;
    const message = { role: 'assistant', content: this.text };
    const completionTokens = this.generatedTokenCount;
    const promptTokens = this.usage?.promptTokens ?? 0;
    const body = JSON.stringify({
      id: this.requestId,
      object: 'chat.completion',
      created,
      model,
      choices: [{ index: 0, message, finish_reason: this.finishReason }],
      usage: {
        prompt_tokens: promptTokens,
        completion_tokens: completionTokens,
        total_tokens: promptTokens + completionTokens,
      },
    });
    this.response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      'x-request-id': this.requestId,
    });
    this.response.end(body);
  }
}
