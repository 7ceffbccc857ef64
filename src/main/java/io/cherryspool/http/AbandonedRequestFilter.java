package io.cherryspool.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayList;
import java.util.List;

/**
 * Buffers what a connection has received until the loop has read all that is there, and discards it
 * if the peer has closed the connection by then.
 *
 * <p>An overloaded node finds requests in its sockets whose senders have given up. Decoding and
 * answering them would use the time in which those that still wait could be answered, so that all
 * of them would be answered too late. A peer that closes only its sending side is not answered
 * either.
 */
final class AbandonedRequestFilter extends ChannelInboundHandlerAdapter {
  /**
   * Bounds what is buffered of a connection; a larger request is passed on as it arrives. Without
   * it many large bodies at once would exhaust the memory for buffers.
   */
  private static final int MAX_HELD_BYTES = 8 * 1024;

  private List<ByteBuf> received = new ArrayList<>(1);
  private int heldBytes;
  private boolean isCheckScheduled;

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    received.add(bytes);
    heldBytes += bytes.readableBytes();
    if (heldBytes > MAX_HELD_BYTES) {
      passOn(ctx);
    }
  }

  /** Checks later: if the connection's end was read, Netty closes the channel after this call. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (!isCheckScheduled && !received.isEmpty()) {
      isCheckScheduled = true;
      ctx.executor().execute(() -> passIfOpen(ctx));
    }
  }

  private void passIfOpen(ChannelHandlerContext ctx) {
    isCheckScheduled = false;
    if (ctx.channel().isActive()) {
      passOn(ctx);
      ctx.fireChannelReadComplete();
    } else {
      takeReceived().forEach(ByteBuf::release);
    }
  }

  private void passOn(ChannelHandlerContext ctx) {
    takeReceived().forEach(ctx::fireChannelRead);
  }

  private List<ByteBuf> takeReceived() {
    List<ByteBuf> taken = received;
    received = new ArrayList<>(1);
    heldBytes = 0;
    return taken;
  }
}
