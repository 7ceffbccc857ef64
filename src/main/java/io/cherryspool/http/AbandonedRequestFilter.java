package io.cherryspool.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayList;
import java.util.List;

/**
 * Buffers the received bytes of a connection until the event loop has read everything available,
 * and discards them if the peer has closed the connection by then.
 *
 * <p>The socket buffers of an overloaded node contain requests whose senders no longer wait for a
 * response. If the node spent time on decoding and answering them, it would answer the remaining
 * requests too late as well. A request is also discarded if its peer closes only the sending side
 * of the connection.
 */
final class AbandonedRequestFilter extends ChannelInboundHandlerAdapter {
  /**
   * The maximum number of bytes to buffer for a connection. Beyond it, received bytes are forwarded
   * as they arrive, since many large bodies at once would exhaust the memory for buffers.
   */
  private static final int MAX_BUFFERED_BYTES = 8 * 1024;

  private List<ByteBuf> received = new ArrayList<>(1);
  private int bufferedBytes;
  private boolean isCheckScheduled;

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    received.add(bytes);
    bufferedBytes += bytes.readableBytes();
    if (bufferedBytes > MAX_BUFFERED_BYTES) {
      forward(ctx);
    }
  }

  /**
   * Schedules the check whether the channel is closed. The check runs after this call, since Netty
   * first calls this method and then closes the channel, if it has read the end of the connection.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (!isCheckScheduled && !received.isEmpty()) {
      isCheckScheduled = true;
      ctx.executor().execute(() -> forwardOrDiscard(ctx));
    }
  }

  private void forwardOrDiscard(ChannelHandlerContext ctx) {
    isCheckScheduled = false;
    if (ctx.channel().isActive()) {
      forward(ctx);
      ctx.fireChannelReadComplete();
    } else {
      removeReceived().forEach(ByteBuf::release);
    }
  }

  private void forward(ChannelHandlerContext ctx) {
    removeReceived().forEach(ctx::fireChannelRead);
  }

  private List<ByteBuf> removeReceived() {
    List<ByteBuf> removed = received;
    received = new ArrayList<>(1);
    bufferedBytes = 0;
    return removed;
  }
}
